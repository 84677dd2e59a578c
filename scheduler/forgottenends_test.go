package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// returnForgetful returns a pool whose worker has returned while a hold that acknowledged an end had no answer.
func returnForgetful(t *testing.T) *testPool {
	t.Helper()
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.report("w1", nil, []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}})
	for _, r := range b.pool.Step(b.now).Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1))
	b.advance(time.Second)
	for range 2 {
		b.answer(6, nil)
	}
	return b
}

// answer passes a list of an incarnation of the worker.
func (b *testPool) answer(born int64, running []scheduler.RunningTask, ended ...scheduler.EndedRun) {
	b.advance(10 * time.Millisecond)
	b.pool.Report(b.now, scheduler.Report{
		Worker: "w1", Fence: b.pool.FenceFor("w1"), Born: born, Sent: b.now, Received: b.now, Clock: b.clock, Running: running, Ended: ended,
	})
}

// Guards against a task that runs again after it has succeeded: a hold that acknowledged ends got no answer and was carried out by the
// next incarnation of the worker, which then forgot as many of its own ends without listing them.
func TestNoBatchTaskStartsWhereItsEndMayBeForgotten(t *testing.T) {
	b := returnForgetful(t)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	b.advance(300 * time.Millisecond)
	assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0)
}

// Guards against the same after a wait for other workers, and against a worker that is never used again: one task at a time starts
// there and is stopped at once, until the worker has listed an end.
func TestRunIsStoppedAtOnceWhereItsEndMayBeForgotten(t *testing.T) {
	for _, listed := range []bool{false, true} {
		b := returnForgetful(t)
		b.add("b", &pb.JobStep{Count: 2, CpuMilli: 1000, EstimateMs: 5000})
		b.advance(600 * time.Millisecond)
		proof := b.orders(scheduler.OrderStart)
		assert.Equal(t, len(proof), 1)
		b.pool.Result(b.now, scheduler.OrderResult{Order: proof[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
		stops := b.pool.Step(b.now).Orders
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Kind, scheduler.OrderStop)
		b.pool.Result(b.now, scheduler.OrderResult{Order: stops[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
		var ended []scheduler.EndedRun
		if listed {
			ended = []scheduler.EndedRun{{Number: 1, Task: proof[0].Task, Run: proof[0].Run, End: scheduler.EndStopped}}
		}
		b.answer(6, nil, ended...)
		assert.Equal(t, len(b.orders(scheduler.OrderStart)), map[bool]int{false: 0, true: 2}[listed])
	}
}

// Guards against a worker that is avoided without need: its hold was answered, or was not sent.
func TestWorkerIsUsedOnceTheResultOfItsAcknowledgementIsKnown(t *testing.T) {
	for _, result := range []scheduler.AckResult{scheduler.AckApplied, scheduler.AckNotSent} {
		b := newTestPool("w1")
		b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
		o := b.pool.Step(b.now).Orders[0]
		b.report("w1", nil, []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}})
		for _, r := range b.pool.Step(b.now).Records {
			b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
		}
		h := b.pool.Hold("w1", b.now)
		b.pool.SettleAck("w1", h, result)
		assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen == 0, result == scheduler.AckApplied, "an answered acknowledgement is not repeated")
		if result == scheduler.AckNotSent {
			b.pool.SettleAck("w1", h, result)
		}
		b.advance(time.Second)
		for range 2 {
			b.answer(6, nil)
		}
		b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
		assert.Equal(t, len(b.orders(scheduler.OrderStart)), 1)
	}
}

// Guards against the same where the worker can only have carried out a hold of an earlier owner: the incarnation that this one has
// recorded ended before, or after, it first answered the present owner.
func TestNoBatchTaskStartsWhereAnEarlierOwnersHoldMayBeLate(t *testing.T) {
	for name, answered := range map[string]bool{"never answered": false, "answered": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool()
			list := func(born int64) {
				b.pool.SetWorkers(b.now, []scheduler.Worker{{
					ID: "w1", Address: "w1", Born: born, RecordedBorn: born, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000},
				}})
			}
			list(5)
			if answered {
				b.answer(5, nil)
			}
			b.advance(time.Second)
			for range 2 {
				b.answer(6, nil)
			}
			list(6)
			b.advance(10 * time.Second)
			b.answer(6, nil)
			b.pool.Step(b.now)
			b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
			b.advance(300 * time.Millisecond)
			b.answer(6, nil)
			assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0)
			b.answer(6, nil, scheduler.EndedRun{Number: 3, Task: scheduler.TaskID{Job: "x"}, Run: 1, End: scheduler.EndSucceeded})
			assert.Equal(t, len(b.orders(scheduler.OrderStart)), 1, "a worker that lists an end lists all later ones")
		})
	}
}

// Guards against a task that runs again after it has succeeded, where the next owner takes over once the leases of a returned worker are
// settled, but while that one may still have forgotten ends.
func TestWorkerThatMayForgetEndsStaysMarkedForTheNextOwner(t *testing.T) {
	b := returnForgetful(t)
	live := func(ended ...scheduler.EndedRun) {
		for range 100 {
			b.advance(90 * time.Millisecond)
			b.pool.SetConfirmed(b.now)
			b.answer(6, nil, ended...)
			b.pool.Step(b.now)
		}
	}
	live()
	assert.Assert(t, b.pool.MayForgetEnds("w1"))
	live(scheduler.EndedRun{Number: 2, Task: scheduler.TaskID{Job: "a"}, Run: 1, End: scheduler.EndStopped})
	assert.Assert(t, !b.pool.MayForgetEnds("w1"))
}
