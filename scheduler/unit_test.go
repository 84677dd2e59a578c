package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// testPool is a pool with workers whose answers the test provides.
type testPool struct {
	pool    *scheduler.Pool
	now     time.Time
	clock   int64
	lastEnd int64
}

func newTestPool(workers ...string) *testPool {
	return newLoadedTestPool(nil, nil, workers...)
}

// newLoadedTestPool returns a pool that has taken over the jobs.
func newLoadedTestPool(jobs []*pb.JobRecord, progress []*pb.JobProgress, workers ...string) *testPool {
	b := &testPool{now: time.UnixMilli(simEpoch), clock: 1000}
	cfg := simConfig
	cfg.Fence = 7
	b.pool = scheduler.New(cfg)
	b.pool.Load(b.now, jobs, progress, nil)
	b.pool.SetQueues(b.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
	var ws []scheduler.Worker
	for _, id := range workers {
		ws = append(ws, scheduler.Worker{ID: id, Address: id, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
	}
	b.pool.SetWorkers(b.now, ws)
	for _, id := range workers {
		b.report(id, nil, nil)
	}
	return b
}

func (b *testPool) report(worker string, running []scheduler.RunningTask, ended []scheduler.EndedRun) {
	b.clock++
	b.pool.Report(b.now, scheduler.Report{
		Worker: worker, Fence: b.pool.FenceFor(worker), Born: 5, Sent: b.now, Received: b.now, Clock: b.clock, Running: running, Ended: ended,
	})
}

func (b *testPool) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.clock += d.Milliseconds()
}

func (b *testPool) add(id string, steps ...*pb.JobStep) {
	b.pool.Add(b.now, &pb.JobRecord{Id: id, Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: steps}})
}

// Backfill tasks beside a serving task that misses its target are throttled at once and raised again later. The
// serving task is never throttled.
func TestPaceProtectsServingTasks(t *testing.T) {
	b := newTestPool("w1")
	b.add("serve", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true, TargetMs: 50})
	b.add("fill", &pb.JobStep{Count: 2, CpuMilli: 1000, Fills: true, EstimateMs: 60_000})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 3)
	reportTail := func(tail int64) []scheduler.Order {
		b.advance(700 * time.Millisecond)
		var running []scheduler.RunningTask
		for i, o := range orders {
			r := scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 30 + int(b.clock/1000)}
			if i == 0 {
				r.Percent, r.Tail = 100, tail
			}
			running = append(running, r)
		}
		b.report("w1", running, nil)
		out := b.pool.Step(b.now).Orders
		for _, o := range out {
			assert.Equal(t, o.Kind, scheduler.OrderPace)
			assert.Equal(t, o.Task.Job, "fill")
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		}
		return out
	}
	for _, o := range orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
	}
	assert.Equal(t, len(reportTail(10)), 0)
	cut := reportTail(60)
	assert.Equal(t, len(cut), 2)
	assert.Equal(t, cut[0].Percent, 25)
	assert.Equal(t, reportTail(40)[0].Percent, 12)
	assert.Equal(t, reportTail(5)[0].Percent, 27)
}

// A worker on which tasks of distinct jobs fail gets no more tasks.
func TestFailingWorkerIsAvoided(t *testing.T) {
	b := newTestPool("w1", "w2", "w3")
	started := map[string]int{}
	for i := range 12 {
		b.add(string(rune('a'+i)), &pb.JobStep{Count: 1, CpuMilli: 100, EstimateMs: 500})
		for _, o := range b.pool.Step(b.now).Orders {
			started[o.Worker]++
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
			end := scheduler.EndSucceeded
			if o.Worker == "w1" {
				end = scheduler.EndFailed
			}
			b.advance(100 * time.Millisecond)
			b.lastEnd++
			b.report(o.Worker, nil, []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: end}})
		}
	}
	assert.Equal(t, started["w1"], 2, "%v", started)
}

// The consequences of an input are returned by the next Step: here, that the worker's list is needed at once.
func TestStartWithoutAnswerIsPolled(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 100, EstimateMs: 500})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	b.pool.Result(b.now, scheduler.OrderResult{Order: orders[0], Outcome: scheduler.OutcomeUnknown})
	a := b.pool.Step(b.now)
	assert.DeepEqual(t, a.Poll, []string{"w1"})
	assert.Equal(t, len(a.Orders), 0)
	b.advance(400 * time.Millisecond)
	b.report("w1", nil, nil)
	stop := b.pool.Step(b.now).Orders
	assert.Equal(t, len(stop), 1)
	assert.Equal(t, stop[0].Kind, scheduler.OrderStop)
	b.pool.Result(b.now, scheduler.OrderResult{Order: stop[0], Outcome: scheduler.OutcomeDone})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.advance(time.Millisecond)
	b.report("w1", nil, nil)
	again := b.pool.Step(b.now).Orders
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Kind, scheduler.OrderStart)
	assert.Assert(t, again[0].Run > orders[0].Run)
}

// A worker is evacuated even if the rest of the pool always has batch tasks waiting for free capacity.
func TestEvacuationFindsRoomUnderLoad(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("serve", &pb.JobStep{Count: 1, CpuMilli: 2000, Persistent: true, MayMiss: 1})
	first := b.pool.Step(b.now).Orders[0]
	running := map[string][]scheduler.RunningTask{first.Worker: {{Task: first.Task, Run: first.Run, Percent: 100}}}
	b.pool.Result(b.now, scheduler.OrderResult{Order: first, Outcome: scheduler.OutcomeDone})
	for i := range 60 {
		b.add(string(rune('A'+i)), &pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 400})
	}
	b.pool.Evacuate(b.now, []string{first.Worker})
	for range 30 {
		ends := map[string][]scheduler.EndedRun{}
		for _, o := range b.pool.Step(b.now).Orders {
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
			if o.Kind == scheduler.OrderStart {
				if o.Task.Job == "serve" {
					assert.Assert(t, o.Worker != first.Worker)
					return
				}
				running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 50})
				continue
			}
			running[o.Worker] = nil
			b.lastEnd++
			ends[o.Worker] = append(ends[o.Worker], scheduler.EndedRun{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndStopped})
		}
		b.advance(100 * time.Millisecond)
		for _, w := range []string{"w1", "w2"} {
			if list := running[w]; len(list) > 0 && list[0].Task.Job != "serve" {
				b.lastEnd++
				ends[w] = append(ends[w], scheduler.EndedRun{Number: b.lastEnd, Task: list[0].Task, Run: list[0].Run, End: scheduler.EndSucceeded})
				running[w] = list[1:]
			}
			b.report(w, running[w], ends[w])
		}
	}
	t.Fatal("the persistent task was not moved")
}

// A new owner starts nothing on hosts that may have been ordered away until it learns which ones to evacuate.
func TestLeavingHostsGetNoTasks(t *testing.T) {
	b := &testPool{now: time.UnixMilli(simEpoch), clock: 1000}
	b.pool = scheduler.New(simConfig)
	b.pool.SetLeavingHosts([]string{"m1"})
	b.pool.Load(b.now, nil, nil, nil)
	b.pool.SetQueues(b.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
	b.pool.SetWorkers(b.now, []scheduler.Worker{
		{ID: "w1", Address: "w1", Host: "m1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}},
	})
	b.report("w1", nil, nil)
	b.add("serve", &pb.JobStep{Count: 2, CpuMilli: 1000, Persistent: true, MayMiss: 1})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.advance(time.Second)
	b.report("w1", nil, nil)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.pool.Evacuate(b.now, nil)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 2)
}

// A worker whose entry has expired keeps its runs: unlike those of a draining worker, they are not moved away.
func TestUnlistedWorkerKeepsItsTasks(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("serve", &pb.JobStep{Count: 3, CpuMilli: 1000, Persistent: true, MayMiss: 1})
	running := map[string][]scheduler.RunningTask{}
	for _, o := range b.pool.Step(b.now).Orders {
		running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 100})
	}
	room := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
	b.advance(time.Second)
	b.pool.SetWorkers(b.now, []scheduler.Worker{
		{ID: "w1", Address: "w1", Capacity: room, Unlisted: true},
		{ID: "w2", Address: "w2", Capacity: room},
	})
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.report("w1", running["w1"], nil)
		b.report("w2", running["w2"], nil)
		assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	}
	b.add("late", &pb.JobStep{Count: 2, CpuMilli: 500, EstimateMs: 1000})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 2)
	for _, o := range orders {
		assert.Equal(t, o.Worker, "w2", "an unlisted worker gets nothing new")
	}
}

// TestFlappingWorkersAreAvoided ends two incarnations of a worker in quick succession: tasks go elsewhere for a
// while.
func TestFlappingWorkersAreAvoided(t *testing.T) {
	for _, apart := range []time.Duration{2 * time.Second, 10 * time.Second} {
		b := newTestPool("w1", "w2")
		for born := int64(6); born <= 7; born++ {
			b.advance(apart)
			for _, id := range []string{"w1", "w2", "w1"} {
				b.clock++
				incarnation := map[string]int64{"w1": born, "w2": 5}[id]
				b.pool.Report(b.now, scheduler.Report{Worker: id, Fence: b.pool.FenceFor(id), Born: incarnation, Sent: b.now, Received: b.now, Clock: b.clock})
			}
		}
		b.add("j", &pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 1000, MaxPerHost: 2})
		flapping := 0
		for _, order := range b.pool.Step(b.now).Orders {
			if order.Worker == "w1" {
				flapping++
			}
		}
		want := 0
		if apart > 6*time.Second {
			want = 2
		}
		assert.Equal(t, flapping, want, "incarnations ended %s apart", apart)
	}
}

// TestWrongEstimatesDoNotMakeWorkersSuspect runs tasks that take four times their estimate on all workers or on one.
func TestWrongEstimatesDoNotMakeWorkersSuspect(t *testing.T) {
	for _, test := range []struct {
		name         string
		first, other time.Duration
		slow         []string
	}{
		{"all alike", 4 * time.Second, 4 * time.Second, nil},
		{"one is slow", 4 * time.Second, time.Second, []string{"w1"}},
	} {
		b := newTestPool("w1", "w2", "w3", "w4")
		b.add("j", &pb.JobStep{Count: 12, CpuMilli: 1000, EstimateMs: 1000, MaxPerHost: 3})
		orders := b.pool.Step(b.now).Orders
		assert.Equal(t, len(orders), 12)
		slow := map[string]bool{}
		for range 40 {
			b.advance(100 * time.Millisecond)
			b.reportProgress(orders, test.first, test.other, slow)
		}
		assert.DeepEqual(t, slices.Sorted(maps.Keys(slow)), test.slow)
	}
}

// reportProgress reports the progress of runs that started 0.1 s before the first report, and adds the workers found
// slow to slow.
func (b *testPool) reportProgress(orders []scheduler.Order, first, other time.Duration, slow map[string]bool) {
	elapsed := b.now.Sub(time.UnixMilli(simEpoch))
	running := map[string][]scheduler.RunningTask{}
	for _, o := range orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		takes := other
		if o.Worker == "w1" {
			takes = first
		}
		percent := int(min(99, 100*elapsed/takes))
		running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: percent})
	}
	for _, worker := range []string{"w1", "w2", "w3", "w4"} {
		b.report(worker, running[worker], nil)
	}
	for _, d := range b.pool.Step(b.now).Decisions {
		if d.Kind == "suspect" && d.Reason == "slow" {
			slow[d.Worker] = true
		}
	}
}
