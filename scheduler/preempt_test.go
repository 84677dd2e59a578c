package scheduler_test

import (
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// newFullPool returns a pool whose only worker is filled with runs of a queue of priority 1 that have run for a
// second.
func newFullPool(step *pb.JobStep) (b *testPool, starts []scheduler.Order) {
	b = newTestPool("w1")
	b.pool.SetQueues(b.now, []queue.Queue{
		{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second},
		{Name: "later", Priority: 1, MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second},
	})
	b.pool.Add(b.now, &pb.JobRecord{
		Id: "late", Queue: "later", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: []*pb.JobStep{step}},
	})
	starts = b.pool.Step(b.now).Orders
	var running []scheduler.RunningTask
	for _, o := range starts {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		running = append(running, scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 10})
	}
	b.advance(time.Second)
	b.report("w1", running, nil)
	b.pool.Step(b.now)
	return b, starts
}

func stops(orders []scheduler.Order) (out []scheduler.Order) {
	for _, o := range orders {
		if o.Kind == scheduler.OrderStop {
			out = append(out, o)
		}
	}
	return out
}

// A task of a higher-priority queue preempts only as many runs that save progress as it needs, and gets their room. The
// preempted tasks continue later.
func TestPreemptionStopsRunsThatSaveProgress(t *testing.T) {
	b, starts := newFullPool(&pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true})
	assert.Equal(t, len(starts), 4)
	b.add("first", &pb.JobStep{Count: 1, CpuMilli: 2000, EstimateMs: 3000})
	a := b.pool.Step(b.now)
	stopped := stops(a.Orders)
	assert.Equal(t, len(stopped), 2)
	logged := 0
	for _, d := range a.Decisions {
		if d.Kind == scheduler.DecisionPreempted {
			logged++
			assert.Equal(t, d.Task.Job, "first")
			assert.Equal(t, d.Count, 2)
		}
	}
	assert.Equal(t, logged, 1)
	var ended []scheduler.EndedRun
	for i, o := range stopped {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		ended = append(ended, scheduler.EndedRun{Number: int64(i + 1), Task: o.Task, Run: o.Run, End: scheduler.EndStopped, Checkpoint: "c"})
	}
	b.advance(300 * time.Millisecond)
	var running []scheduler.RunningTask
	for _, o := range starts {
		if !slices.ContainsFunc(stopped, func(s scheduler.Order) bool { return s.Run == o.Run }) {
			running = append(running, scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 12})
		}
	}
	assert.Equal(t, len(running), 2)
	b.report("w1", running, ended)
	var started int
	for _, o := range b.pool.Step(b.now).Orders {
		if o.Kind == scheduler.OrderStart && o.Task.Job == "first" {
			started++
		}
	}
	assert.Equal(t, started, 1)
}

// Room that is freed in parts is reserved for the task that it was freed for. Each task is preempted once only.
func TestPreemptedRoomIsReserved(t *testing.T) {
	b, starts := newFullPool(&pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true})
	b.add("first", &pb.JobStep{Count: 1, CpuMilli: 2000, EstimateMs: 3000})
	stopped := stops(b.pool.Step(b.now).Orders)
	assert.Equal(t, len(stopped), 2)
	for _, o := range stopped {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
	}
	var running []scheduler.RunningTask
	for _, o := range starts {
		if o.Run != stopped[0].Run {
			running = append(running, scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 12})
		}
	}
	b.advance(200 * time.Millisecond)
	b.report("w1", running, []scheduler.EndedRun{{Number: 1, Task: stopped[0].Task, Run: stopped[0].Run, End: scheduler.EndStopped}})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
}

// Runs that would lose their work, runs of persistent tasks and gangs, and runs that end soon are not preempted.
func TestPreemptionSparesCostlyRuns(t *testing.T) {
	spared := map[string]*pb.JobStep{
		"saves no progress": {Count: 4, CpuMilli: 1000, EstimateMs: 30_000},
		"persistent":        {Count: 4, CpuMilli: 1000, Persistent: true, MayMiss: 1},
		"gang":              {Count: 4, CpuMilli: 1000, EstimateMs: 30_000, Gang: true, SavesProgress: true},
		"ends soon":         {Count: 4, CpuMilli: 1000, EstimateMs: 1500, SavesProgress: true},
	}
	for name, step := range spared {
		t.Run(name, func(t *testing.T) {
			b, starts := newFullPool(step)
			assert.Equal(t, len(starts), 4)
			b.add("first", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 3000})
			for range 10 {
				assert.Equal(t, len(stops(b.pool.Step(b.now).Orders)), 0)
				b.advance(50 * time.Millisecond)
			}
		})
	}
}

// addPreemptionLoad fills the pool with long runs of a low-priority queue and adds jobs of all kinds.
func addPreemptionLoad(s *sim, jobs int) {
	for range 4 {
		j := s.addJob(s.rng.Int64N(s.faultPeriod()/2), &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 8, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 6000, SavesProgress: true}},
		})
		j.rec.Queue = "later"
	}
	addMixedJobs(s, jobs)
}

// Under faults of calls, workers and owners runs are preempted, no rule is violated, and all jobs end.
func TestPreemptionUnderFaults(t *testing.T) {
	preempted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 4).Draw(t, "workers"), drawFaults(t))
		addPreemptionLoad(s, rapid.IntRange(5, 20).Draw(t, "jobs"))
		for _, f := range s.run(s.faultPeriod(), 100_000) {
			t.Error(f)
		}
		preempted += s.preemptedRuns
	})
	assert.Assert(t, preempted > 0)
	t.Logf("%d preemptions", preempted)
}
