package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against two runs of a task: a worker has returned under its id, accepts a start before it has answered a hold, and is cut off. The
// expiry that the start or the hold after it asks for is a time on the earlier clock, so that the worker cuts it to the longest lease.
func TestStartAcceptedByALaterIncarnationHasTheLongestLease(t *testing.T) {
	b := newTestPool("w1", "w2")
	for _, id := range []string{"w1", "w2"} {
		b.pool.Report(b.now, scheduler.Report{Worker: id, Fence: b.pool.FenceFor(id), Born: 5, Sent: b.now, Received: b.now, Clock: 100_000})
	}
	b.clock = 100_000
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
	o := b.pool.Step(b.now).Orders[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	b.advance(10 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 60})
	b.advance(time.Second)
	assert.Assert(t, b.pool.Hold(o.Worker, b.now).Until > 100_000)
	held, startedAgain := b.now, false
	for range 80 {
		b.advance(100 * time.Millisecond)
		b.report(other, nil, nil)
		for _, x := range b.pool.Step(b.now).Orders {
			again := x.Kind == scheduler.OrderStart
			startedAgain = startedAgain || again
			longest := time.Duration(float64(simConfig.MaxLease) / 0.98)
			assert.Assert(t, !again || b.now.Sub(held) > longest, "started on %s %s after %s was last held", x.Worker, b.now.Sub(held), o.Worker)
		}
	}
	assert.Assert(t, startedAgain)
}

// Guards against two runs of a task: a worker has returned under its id and accepts a start before it has answered a hold. The list of
// hosts then proves the end of its earlier incarnation.
func TestStartAcceptedByALaterIncarnationOutlastsTheProvedEnd(t *testing.T) {
	b := newTestPool("w1", "w2")
	for _, id := range []string{"w1", "w2"} {
		b.reportOf(id, 5, 100_000, nil)
	}
	b.clock = 100_000
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
	o := b.orders(scheduler.OrderStart)[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	b.advance(10 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 60})
	for range 20 {
		b.pool.MarkUnreachable(o.Worker)
		b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}})
		b.advance(100 * time.Millisecond)
		b.report(other, nil, nil)
		assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0, "started on %s while it runs on %s", other, o.Worker)
	}
	for clock := range int64(2) {
		b.reportOf(o.Worker, 6, 2100+clock, []scheduler.RunningTask{{Task: o.Task, Run: o.Run}})
	}
	assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0)
}

// Guards against two runs of a task: holds whose answers are lost go on to extend the lease of a later incarnation, for which the expiry of
// the earlier one is far ahead.
func TestSilentWorkerIsAskedForNoLease(t *testing.T) {
	b := newTestPool("w1")
	b.report("w1", nil, nil)
	latest := b.pool.Hold("w1", b.now).Until
	assert.Assert(t, latest > b.clock)
	b.advance(3 * time.Second)
	assert.Assert(t, b.clock < latest)
	assert.Equal(t, b.pool.Hold("w1", b.now).Until, int64(0))
	b.report("w1", nil, nil)
	assert.Assert(t, b.pool.Hold("w1", b.now).Until > latest)
}
