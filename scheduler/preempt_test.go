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

// fullOf is a pool of one worker that is full of runs of a queue of priority 1, all at work for a while.
func fullOf(step *pb.JobStep) (b *bare, starts []scheduler.Order) {
	b = newBare("w1")
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
	b.pass(time.Second)
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

// A task of a queue that comes first gets the room of as few saved runs as it needs, and these go on elsewhere later.
func TestPreemptionStopsWhatSaves(t *testing.T) {
	b, starts := fullOf(&pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true})
	assert.Equal(t, len(starts), 4)
	b.add("first", &pb.JobStep{Count: 1, CpuMilli: 2000, EstimateMs: 3000})
	a := b.pool.Step(b.now)
	stopped := stops(a.Orders)
	assert.Equal(t, len(stopped), 2)
	told := 0
	for _, d := range a.Decisions {
		if d.Kind == scheduler.DecisionPreempted {
			told++
			assert.Equal(t, d.Task.Job, "first")
			assert.Equal(t, d.Count, 2)
		}
	}
	assert.Equal(t, told, 1)
	var ended []scheduler.EndedRun
	for i, o := range stopped {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		ended = append(ended, scheduler.EndedRun{Number: int64(i + 1), Task: o.Task, Run: o.Run, End: scheduler.EndStopped, Checkpoint: "c"})
	}
	b.pass(300 * time.Millisecond)
	var running []scheduler.RunningTask
	for _, o := range starts {
		if !slices.ContainsFunc(stopped, func(s scheduler.Order) bool { return s.Run == o.Run }) {
			running = append(running, scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 12})
		}
	}
	assert.Equal(t, len(running), 2)
	b.report("w1", running, ended)
	var first int
	for _, o := range b.pool.Step(b.now).Orders {
		if o.Kind == scheduler.OrderStart && o.Task.Job == "first" {
			first++
		}
	}
	assert.Equal(t, first, 1)
}

// Room that comes free in parts is kept for the task that it is freed for; each task gives way once.
func TestPreemptionKeepsTheRoom(t *testing.T) {
	b, starts := fullOf(&pb.JobStep{Count: 4, CpuMilli: 1000, EstimateMs: 30_000, SavesProgress: true})
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
	b.pass(200 * time.Millisecond)
	b.report("w1", running, []scheduler.EndedRun{{Number: 1, Task: stopped[0].Task, Run: stopped[0].Run, End: scheduler.EndStopped}})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
}

// Runs that would lose their work, those of persistent tasks and of the same priority, and those about to end stay.
func TestPreemptionSparesWhatIsDear(t *testing.T) {
	dear := map[string]*pb.JobStep{
		"saves nothing": {Count: 4, CpuMilli: 1000, EstimateMs: 30_000},
		"persistent":    {Count: 4, CpuMilli: 1000, Persistent: true, MayMiss: 1},
		"gang":          {Count: 4, CpuMilli: 1000, EstimateMs: 30_000, Gang: true, SavesProgress: true},
		"ends soon":     {Count: 4, CpuMilli: 1000, EstimateMs: 1500, SavesProgress: true},
	}
	for name, step := range dear {
		t.Run(name, func(t *testing.T) {
			b, starts := fullOf(step)
			assert.Equal(t, len(starts), 4)
			b.add("first", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 3000})
			for range 10 {
				assert.Equal(t, len(stops(b.pool.Step(b.now).Orders)), 0)
				b.pass(50 * time.Millisecond)
			}
		})
	}
}

// crowdedDay fills the pool with long runs of a later queue, beside which jobs of all kinds arrive.
func crowdedDay(s *sim, jobs int) {
	for range 4 {
		j := s.add(s.rng.Int64N(s.quiet()/2), &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 8, CpuMilli: 2000, MemoryMb: 100, EstimateMs: 6000, SavesProgress: true}},
		})
		j.rec.Queue = "later"
	}
	mixedDay(s, jobs)
}

// Runs give way, and no rule is broken, whatever calls, workers and owners do; all jobs end.
func TestPreemptionUnderFaults(t *testing.T) {
	preempted := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 4).Draw(t, "workers"), drawFaults(t))
		crowdedDay(s, rapid.IntRange(5, 20).Draw(t, "jobs"))
		for _, f := range s.run(s.quiet(), 100_000) {
			t.Error(f)
		}
		preempted += s.preempted
	})
	assert.Assert(t, preempted > 0)
	t.Logf("%d times runs gave way", preempted)
}
