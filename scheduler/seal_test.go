package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a pool that starts nothing for as long as the longest lease, since its owner is replaced while some of its
// workers do not answer, as in a dark rack: with their runs recorded, all other tasks start at once.
func TestTakeoverBesideADarkRackStartsOtherTasks(t *testing.T) {
	const (
		darkAt, takeoverAt = 2_000, 6_000
		noticedAt          = darkAt + 1_000
		backAt             = 25_000
		maxWait            = 1_500
	)
	for seed := range uint64(8) {
		s := newSim(seed, 8, faults{})
		for i := range int64(60) {
			s.addJob(200*i, &pb.JobSpec{Steps: []*pb.JobStep{{Count: 4, CpuMilli: 700, EstimateMs: 900}}})
		}
		s.after(darkAt, func() { s.partitioned["w00"], s.partitioned["w01"] = true, true })
		s.after(backAt, func() { s.partitioned["w00"], s.partitioned["w01"] = false, false })
		s.after(takeoverAt, func() {
			s.owner.replaced = true
			s.after(100, s.startOwner)
		})
		assert.DeepEqual(t, s.run(1_000, 40_000), []string(nil))
		assert.Assert(t, s.adoptedSeals > 0, "seed %d", seed)
		for i, id := range s.jobIDs {
			at := 200 * int64(i)
			first := s.firstStart(s.jobs[id])
			if at < noticedAt {
				// Its tasks may have been sent to the dark workers.
				continue
			}
			assert.Assert(t, first >= 0 && first-at <= maxWait, "seed %d: job of %d ms began at %d ms", seed, at, first)
		}
	}
}

// Guards against two runs of a task, where owners that succeed each other record and take over sealed workers, which come back
// at any moment.
func TestSealedWorkersOverTakeovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.partitions, f.takeovers = rapid.IntRange(2, 6).Draw(t, "cuts"), rapid.IntRange(2, 5).Draw(t, "owners")
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 8).Draw(t, "workers"), f)
		addMixedJobs(s, rapid.IntRange(10, 40).Draw(t, "jobs"))
		for _, violation := range s.run(s.faultPeriod(), 90_000) {
			t.Error(violation)
		}
	})
}

// takeOver returns a pool of the next owner, with the seals of the one before.
func takeOver(b *testPool, fence uint64, jobs []*pb.JobRecord, seals []scheduler.SealedWorker, ids ...string) *testPool {
	next := &testPool{now: b.now, clock: b.clock}
	cfg := simConfig
	cfg.Fence = fence
	next.pool = scheduler.New(cfg)
	next.pool.SetQueues(next.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second}})
	next.pool.Load(next.now, jobs, nil, nil)
	var ws []scheduler.Worker
	for _, id := range ids {
		ws = append(ws, scheduler.Worker{ID: id, Address: id, Host: "m-" + id, Born: 5, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
	}
	next.pool.SetWorkers(next.now, ws)
	for _, s := range seals {
		next.pool.AdoptSealed(next.now, s)
	}
	return next
}

// Guards against a task that waits for a lease although the platform has ended its worker: the earlier owner had seen it run, but its
// record doesn't tell, so that the next owner keeps it as a start that a later incarnation may execute.
func TestProofEndsWhatAnEarlierOwnerHasSeenRunning(t *testing.T) {
	for name, takesOver := range map[string]bool{"same owner": false, "next owner": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2", "w3")
			job := &pb.JobRecord{
				Id: "a", Queue: "q", AcceptedMs: b.now.UnixMilli(),
				Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, Persistent: true}}},
			}
			b.pool.Add(b.now, job)
			o := b.pool.Step(b.now).Orders[0]
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
			running := []scheduler.RunningTask{{Task: o.Task, Run: o.Run, Percent: 100}}
			others := map[string][]string{"w1": {"w2", "w3"}, "w2": {"w1", "w3"}, "w3": {"w1", "w2"}}[o.Worker]
			tick := func(reporting bool) (started bool) {
				b.advance(100 * time.Millisecond)
				for _, id := range others {
					b.report(id, nil, nil)
				}
				if reporting {
					b.report(o.Worker, running, nil)
				}
				for _, x := range b.pool.Step(b.now).Orders {
					started = started || x.Kind == scheduler.OrderStart
				}
				return started
			}
			for range 60 {
				tick(true)
			}
			var seals []scheduler.SealedWorker
			for range 17 {
				tick(false)
				seals = b.pool.Seal(b.now)
			}
			assert.Equal(t, len(seals), 1)
			if takesOver {
				b = takeOver(b, 8, []*pb.JobRecord{job}, seals, "w1", "w2", "w3")
			}
			b.pool.MarkUnreachable(o.Worker)
			waited := time.Duration(0)
			for ; waited < 6*time.Second; waited += 100 * time.Millisecond {
				b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}})
				if tick(false) {
					break
				}
			}
			// The next owner does not know for how long the task has run, so that it starts as a trial, once that is recorded.
			assert.Assert(t, waited < 1500*time.Millisecond, "started %s after the proof", waited)
		})
	}
}

// Guards against a task that runs again after it has succeeded: its end was received and not recorded when its worker fell silent, and the
// next owner, which takes over the seal, has not heard of the end.
func TestUnrecordedEndOutlastsItsOwner(t *testing.T) {
	b := newTestPool("w1", "w2", "w3")
	job := &pb.JobRecord{
		Id: "a", Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, EstimateMs: 1000}}},
	}
	b.pool.Add(b.now, job)
	o := b.pool.Step(b.now).Orders[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.advance(time.Second)
	end := []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}}
	b.report(o.Worker, nil, end)
	others := map[string][]string{"w1": {"w2", "w3"}, "w2": {"w1", "w3"}, "w3": {"w1", "w2"}}[o.Worker]
	tick := func() {
		b.advance(100 * time.Millisecond)
		for _, id := range others {
			b.report(id, nil, nil)
		}
		for _, x := range b.pool.Step(b.now).Orders {
			assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s after its success", x.Worker)
		}
	}
	var seals []scheduler.SealedWorker
	for range 17 {
		tick()
		seals = b.pool.Seal(b.now)
	}
	assert.Equal(t, len(seals), 1)
	b = takeOver(b, 8, []*pb.JobRecord{job}, seals, "w1", "w2", "w3")
	for range 20 {
		tick()
	}
	b.report(o.Worker, nil, end)
	tick()
	assert.Equal(t, b.pool.State("a"), pb.JobState_JOB_STATE_RUNNING, "not recorded yet")
	for range 60 {
		b.report(o.Worker, nil, nil)
		tick()
	}
}
