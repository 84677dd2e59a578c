package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// returnedWorker is a pool with one worker, w1, that the test lists and answers for.
type returnedWorker struct{ *testPool }

func newReturnedWorker(unused bool) returnedWorker {
	b := returnedWorker{newTestPool()}
	b.pool.SetConfirmed(b.now)
	b.list(5, 5, false, unused)
	b.answer(5)
	b.answer(6)
	b.answer(6)
	return b
}

func (b returnedWorker) list(recorded, born int64, unsettled, unused bool) {
	b.pool.SetWorkers(b.now, []scheduler.Worker{{
		ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}, Born: born, RecordedBorn: recorded, RecordedUnsettled: unsettled,
		Unused: unused,
	}})
}

func (b returnedWorker) answer(born int64, running ...scheduler.RunningTask) {
	b.advance(10 * time.Millisecond)
	b.pool.Report(b.now, scheduler.Report{
		Worker: "w1", Fence: b.pool.Hold("w1", b.now).Fence, Born: born, Sent: b.now, Received: b.now, Clock: b.clock, Running: running,
	})
}

// startsWithin returns how long the worker answers until a task starts there, up to a limit, while the ownership stays confirmed.
func (b returnedWorker) startsWithin(limit time.Duration) (scheduler.Order, bool) {
	for end := b.now.Add(limit); b.now.Before(end); {
		b.pool.SetConfirmed(b.now)
		b.answer(6)
		if orders := b.pool.Step(b.now).Orders; len(orders) > 0 {
			return orders[0], true
		}
	}
	return scheduler.Order{}, false
}

// Guards against two runs of a task over a takeover: a task starts on a returned worker while the record names its earlier incarnation,
// or the present one as settled. Also guards against returned workers that stay unused.
func TestReturnedWorkerIsUsedOnceTheRecordTells(t *testing.T) {
	for name, recorded := range map[string]int64{"the earlier incarnation": 5, "the present one": 6} {
		t.Run(name, func(t *testing.T) {
			b := newReturnedWorker(false)
			b.list(recorded, 6, false, false)
			b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
			_, started := b.startsWithin(400 * time.Millisecond)
			assert.Assert(t, !started, "started, while the record names %s", name)
			assert.Assert(t, b.pool.Unsettled("w1", 6))
			b.list(6, 6, true, false)
			_, started = b.startsWithin(400 * time.Millisecond)
			assert.Assert(t, started)
			b.list(6, 6, true, false)
			for range 600 {
				b.pool.SetConfirmed(b.now)
				b.answer(6)
				b.pool.Step(b.now)
			}
			assert.Assert(t, !b.pool.Unsettled("w1", 6))
		})
	}
}

// Guards against two runs of a task: a late hold of the earlier incarnation extends the lease of a worker that was new in this term.
func TestLeaseOfAReturnedWorkerThatWasNewInTheTerm(t *testing.T) {
	b := newReturnedWorker(true)
	answeredAt := b.now
	b.list(6, 6, true, true)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
	o, started := b.startsWithin(400 * time.Millisecond)
	assert.Assert(t, started)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.answer(6, scheduler.RunningTask{Task: o.Task, Run: o.Run})
	for lost := false; !lost; {
		b.advance(20 * time.Millisecond)
		b.pool.SetConfirmed(b.now)
		lost = slices.ContainsFunc(b.pool.Step(b.now).Decisions, func(d scheduler.Decision) bool { return d.Kind == scheduler.DecisionLost })
	}
	assert.Assert(t, b.now.Sub(answeredAt) > simConfig.MaxLease, "given up %v after the first answers", b.now.Sub(answeredAt))
}

// Guards against two runs of a task: the record that would tell that a worker is unsettled cannot be read.
func TestTakeoverWithoutACompleteRecordWaitsForTheLongestLease(t *testing.T) {
	b := newTestPool()
	b.pool.MarkRosterIncomplete()
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w2", Address: "w2", Unused: true, Capacity: scheduler.Resources{CPUMilli: 4000}}})
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	takenOver := b.now
	for len(b.pool.Step(b.now).Orders) == 0 {
		b.advance(20 * time.Millisecond)
		b.report("w2", nil, nil)
	}
	waited := b.now.Sub(takenOver)
	assert.Assert(t, waited > simConfig.MaxLease && waited < 2*simConfig.MaxLease, "waited %v", waited)
}

// Guards against two runs of a task: an owner that was replaced, and still counts as confirmed, starts a task on a returned worker, which
// has seen no fence of the present owner. That owner may have heard of the earlier incarnation only.
func TestReturnedWorkerIsUsedOnceTheOwnershipIsConfirmed(t *testing.T) {
	b := newReturnedWorker(false)
	b.list(6, 6, true, false)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	for range 50 { // confirmed before the first answer, and by that still allowed to start tasks
		b.answer(6)
		actions := b.pool.Step(b.now)
		assert.Equal(t, len(actions.Orders), 0)
		assert.Assert(t, actions.Confirm)
	}
	b.pool.SetConfirmed(b.now)
	actions := b.pool.Step(b.now)
	assert.Equal(t, len(actions.Orders), 1)
	assert.Assert(t, !actions.Confirm)
}
