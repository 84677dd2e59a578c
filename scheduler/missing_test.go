package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a list of one incarnation that is applied to the next: a stopped start without an answer is missing in a list of the
// earlier incarnation, and the ownership is confirmed only after that one's end is known, when the start is kept for the next one.
func TestMissingRunIsKeptOnceItsWorkerHasReturned(t *testing.T) {
	b := newTestPool("w1", "w2")
	acquired := b.now
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.orders(scheduler.OrderStart)[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	b.pool.SetConfirmed(acquired)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
	b.advance(400 * time.Millisecond)
	b.report(o.Worker, nil, nil)
	stop := b.orders(scheduler.OrderStop)
	assert.Equal(t, len(stop), 1)
	b.pool.Result(b.now, scheduler.OrderResult{Order: stop[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.advance(10 * time.Millisecond)
	b.report(o.Worker, nil, nil)
	assert.Assert(t, !neverBegan(b.pool.Step(b.now)))
	b.advance(100 * time.Millisecond)
	b.pool.MarkUnreachable(o.Worker)
	b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}})
	b.advance(100 * time.Millisecond)
	b.pool.SetConfirmed(b.now)
	b.report(other, nil, nil)
	a := b.pool.Step(b.now)
	assert.Assert(t, !neverBegan(a), "the list of the earlier incarnation ended a start that is kept for the next")
}

// Guards against a returned worker that is avoided, with a warning, for a run of its earlier incarnation: the start was accepted and not
// listed before the crash, and the ownership was confirmed after the next incarnation had answered. No acknowledgement was ever sent.
func TestMissingRunOfAnEarlierIncarnationIsNoForgottenEnd(t *testing.T) {
	b := newTestPool("w1")
	acquired := b.now
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.orders(scheduler.OrderStart)[0]
	b.pool.SetConfirmed(acquired)
	b.advance(10 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.advance(500 * time.Millisecond)
	b.clock = 50
	for range 2 {
		b.answer(6, nil)
	}
	b.pool.Step(b.now)
	b.advance(100 * time.Millisecond)
	b.answer(6, nil)
	b.pool.SetConfirmed(b.now)
	for _, d := range b.pool.Step(b.now).Decisions {
		assert.Assert(t, d.Kind != scheduler.DecisionEndsForgotten, "%+v", d)
	}
}
