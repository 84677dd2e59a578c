package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// stoppable returns whether the pool reports its only worker as stoppable.
func (b *testPool) stoppable() bool { return b.pool.Status(b.now).GetWorkers()[0].GetStoppable() }

// A new owner does not know what a previous owner has started on a worker that has not reported yet.
func TestUnreportedWorkersAreNotStoppable(t *testing.T) {
	b := &testPool{now: time.UnixMilli(simEpoch), clock: 1000}
	cfg := simConfig
	cfg.Fence = 7
	b.pool = scheduler.New(cfg)
	job := &pb.JobRecord{Id: "serve", Queue: "q", Spec: &pb.JobSpec{
		Steps: []*pb.JobStep{{Count: 2, CpuMilli: 1000, Persistent: true, MayMiss: 1}},
	}}
	b.pool.Load(b.now, []*pb.JobRecord{job}, nil, nil)
	room := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Host: "m1", Capacity: room}})
	b.pool.Evacuate(b.now, []string{"w1"})
	b.pool.Step(b.now)
	assert.Assert(t, !b.stoppable())
	b.report("w1", []scheduler.RunningTask{
		{Task: scheduler.TaskID{Job: "serve"}, Run: 1, Percent: 100},
		{Task: scheduler.TaskID{Job: "serve", Index: 1}, Run: 2, Percent: 100},
	}, nil)
	b.pool.Step(b.now)
	assert.Assert(t, !b.stoppable())
	b.pool.Cancel(b.now, "serve")
	assert.Assert(t, b.stoppable())
}

// Runs that previous owners started on a worker that stays silent have ended after the longest lease.
func TestUnreportedWorkersAreStoppableAfterTheLease(t *testing.T) {
	b := newTestPool()
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Host: "m1"}})
	assert.Assert(t, !b.stoppable())
	b.advance(2 * simConfig.Lease)
	assert.Assert(t, b.stoppable())
}

// A gang that waits beside persistent tasks only is reported as stuck, with the need of all its members. It is not
// reported while a batch task may still free capacity, nor if no worker is large enough.
func TestStatusReportsStuckSteps(t *testing.T) {
	for name, test := range map[string]struct {
		waiting *pb.JobStep
		batch   bool
		want    int64
	}{
		"gang":              {waiting: &pb.JobStep{Count: 4, CpuMilli: 1500, Gang: true}, want: 6000},
		"beside batch task": {waiting: &pb.JobStep{Count: 4, CpuMilli: 1500, Gang: true}, batch: true},
		"too large":         {waiting: &pb.JobStep{Count: 1, CpuMilli: 5000}},
		"no label":          {waiting: &pb.JobStep{Count: 1, CpuMilli: 2000, RequiredLabel: "ssd"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			b.add("serve", &pb.JobStep{Count: 2, CpuMilli: 2500, Persistent: true, MayMiss: 1, MaxPerHost: 1})
			if test.batch {
				b.add("batch", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
			}
			running := map[string][]scheduler.RunningTask{}
			for _, o := range b.pool.Step(b.now).Orders {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
				running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 100})
			}
			b.add("waits", test.waiting)
			for range 25 {
				assert.Equal(t, b.pool.Status(b.now).GetStuckCpuMilli(), int64(0))
				b.advance(100 * time.Millisecond)
				b.report("w1", running["w1"], nil)
				b.report("w2", running["w2"], nil)
				b.pool.Step(b.now)
				if b.pool.Status(b.now).GetStuckCpuMilli() > 0 {
					break
				}
			}
			assert.Equal(t, b.pool.Status(b.now).GetStuckCpuMilli(), test.want)
		})
	}
}

// The status reports the largest job of the last second and no older one.
func TestStatusReportsLargestRecentJob(t *testing.T) {
	b := newTestPool()
	add := func(id string, count int64) {
		step := &pb.JobStep{Count: count, CpuMilli: 1000, EstimateMs: 1000}
		b.pool.Add(b.now, &pb.JobRecord{Id: id, Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: []*pb.JobStep{step}}})
	}
	largest := func() int64 { return b.pool.Status(b.now).GetLargestMilliMs() / 1_000_000 }
	add("a", 3)
	b.advance(600 * time.Millisecond)
	add("b", 9)
	add("c", 5)
	assert.Equal(t, largest(), int64(9))
	b.advance(700 * time.Millisecond)
	add("d", 2)
	assert.Equal(t, largest(), int64(9))
	b.advance(400 * time.Millisecond)
	assert.Equal(t, largest(), int64(2))
	b.advance(time.Second)
	assert.Equal(t, largest(), int64(0))
	assert.Equal(t, b.pool.Status(b.now).GetArrivedMilliMs(), int64(19_000_000))
}

// Waiting work is reported as late once it can no longer finish in time.
func TestStatusReportsLateWork(t *testing.T) {
	b := newTestPool()
	step := &pb.JobStep{Count: 3, CpuMilli: 1000, EstimateMs: 1000}
	b.pool.Add(b.now, &pb.JobRecord{Id: "a", Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: []*pb.JobStep{step}}})
	b.advance(1900 * time.Millisecond) // the objective is 2 s + 1 s
	status := b.pool.Status(b.now)
	assert.Equal(t, status.GetBacklogMilliMs(), int64(3_000_000))
	assert.Equal(t, status.GetLateMilliMs(), int64(0))
	b.advance(200 * time.Millisecond)
	status = b.pool.Status(b.now)
	assert.Equal(t, status.GetBacklogMilliMs(), int64(3_000_000))
	assert.Equal(t, status.GetLateMilliMs(), int64(3_000_000))
}

// Guards against finished work that is lost with an owner: a host is ordered away, and with it the worker that would report an end to
// the next owner, before that end is durable.
func TestWorkerIsEvacuatedOnceItsEndsAreRecorded(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 1000}, &pb.JobStep{Count: 1, CpuMilli: 1000, After: []int64{0}})
	o := b.pool.Step(b.now).Orders[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.pool.Evacuate(b.now, []string{"w1"})
	b.advance(time.Second)
	ended := []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}}
	b.report("w1", nil, ended)
	records := b.pool.Step(b.now).Records
	assert.Equal(t, len(records), 1, "recorded at once")
	b.advance(100 * time.Millisecond)
	b.report("w1", nil, ended)
	w := b.pool.Status(b.now).GetWorkers()[0]
	assert.Assert(t, !w.GetEvacuated() && !w.GetStoppable())
	b.pool.Recorded(b.now, "a", records[0].Version)
	w = b.pool.Status(b.now).GetWorkers()[0]
	assert.Assert(t, w.GetEvacuated() && w.GetStoppable())
}
