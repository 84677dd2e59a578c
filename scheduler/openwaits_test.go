package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against persistent tasks that are stopped as without progress: the owner's process stands still for 12 s, and the first answer that it reads was given before. By the worker's clock the run
// has executed for 0.4 s.
func TestAnswerFromBeforeAPauseShowsNoStall(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("serve", &pb.JobStep{Count: 2, CpuMilli: 1000, Persistent: true, MayMiss: 1, MaxPerHost: 2})
	b.add("batch", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
	runs := map[string][]scheduler.RunningTask{}
	clock := map[string]int64{"w1": 100_000, "w2": 100_000}
	for _, o := range b.pool.Step(b.now).Orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: clock[o.Worker]})
		runs[o.Worker] = append(runs[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run, Percent: 10})
	}
	report := func() {
		for id, running := range runs {
			clock[id] += 100
			b.pool.Report(b.now, scheduler.Report{Worker: id, Fence: b.pool.FenceFor(id), Born: 5, Sent: b.now, Received: b.now, Clock: clock[id], Running: running})
		}
	}
	for _, percent := range []int{5, 10, 15} {
		b.advance(100 * time.Millisecond)
		for _, running := range runs {
			for i := range running {
				running[i].Percent = percent
			}
		}
		report()
		b.pool.Step(b.now)
	}
	b.advance(12 * time.Second)
	report()
	for _, o := range b.pool.Step(b.now).Orders {
		assert.Assert(t, o.Kind != scheduler.OrderStop || o.Task.Job != "serve", "stopped as without progress, 0.4 s after its start by the worker's clock")
	}
}

// Guards against trials that become strict, and tasks that are blamed, for crashes that never were: each owner records the trial of a
// suspected task and ends before it starts, and the next one counts a crash, although all workers are of the incarnation of before.
func TestTrialsThatNeverStartedAreNoCrashes(t *testing.T) {
	b := newTestPool("w1", "w2")
	job := &pb.JobRecord{
		Id: "a", Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, Persistent: true}}},
	}
	history := func(progress *pb.JobProgress) *pb.CrashHistory {
		return progress.GetOccurrences()[0].GetSteps()[0].GetCrashes()[0]
	}
	progress := &pb.JobProgress{Id: "a", Occurrences: []*pb.OccurrenceProgress{{Steps: []*pb.StepProgress{{
		Crashes: map[int64]*pb.CrashHistory{0: {Workers: 1, Suspected: true}},
	}}}}}
	for fence := uint64(8); fence < 13; fence++ {
		next := &testPool{now: b.now.Add(time.Second), clock: b.clock + 1000}
		cfg := simConfig
		cfg.Fence = fence
		next.pool = scheduler.New(cfg)
		next.pool.SetQueues(next.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
		next.pool.Load(next.now, []*pb.JobRecord{job}, []*pb.JobProgress{progress}, nil)
		var ws []scheduler.Worker
		for _, id := range []string{"w1", "w2"} {
			ws = append(ws, scheduler.Worker{ID: id, Address: id, Born: 5, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
		}
		next.pool.SetWorkers(next.now, ws)
		next.report("w1", nil, nil)
		next.report("w2", nil, nil)
		a := next.pool.Step(next.now)
		assert.Equal(t, len(a.Orders), 0)
		for _, r := range a.Records {
			progress = r.Progress
		}
		t.Logf("owner %d recorded %v", fence, history(progress))
		b = next
	}
	assert.Assert(t, history(progress).GetUnanswered() <= 1, "crashes counted for starts that were never sent: %v", history(progress))
}

// Guards against a persistent task that is stopped to be moved, while the only other worker with room has stopped answering: it was heard
// 1.4 s ago and has not answered a hold since, where it answers ten times a second otherwise.
func TestMoveWaitsForASignOfLifeOfTheNextWorker(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("serve", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true, MayMiss: 1})
	o := b.pool.Step(b.now).Orders[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	running := []scheduler.RunningTask{{Task: o.Task, Run: o.Run, Percent: 100}}
	tick := func(otherAnswers bool) {
		b.advance(100 * time.Millisecond)
		b.report(o.Worker, running, nil)
		if otherAnswers {
			b.report(other, nil, nil)
		}
		for _, x := range b.pool.Step(b.now).Orders {
			assert.Assert(t, x.Kind != scheduler.OrderStop, "stopped, although %s has not answered for 1.4 s", other)
		}
	}
	for range 30 {
		tick(true)
	}
	for range 14 {
		tick(false)
	}
	b.pool.MarkUnreachable(other)
	b.pool.Evacuate(b.now, []string{o.Worker})
	for range 5 {
		tick(false)
	}
}
