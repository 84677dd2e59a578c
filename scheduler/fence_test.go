package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against an owner that gives its pool up, or two runs of a task: a worker has returned, and rejects a call to its earlier
// incarnation, as it has seen the next fence of the same owner.
func TestRejectionByTheOwnersOwnFenceIsNoLaterOwner(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	former := b.pool.Hold(o.Worker, b.now)
	report := func(running ...scheduler.RunningTask) {
		b.advance(10 * time.Millisecond)
		b.pool.Report(b.now, scheduler.Report{
			Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Born: 6, Sent: b.now, Received: b.now, Clock: b.clock, Running: running,
		})
	}
	report()
	report()
	b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: former.Fence, Sent: b.now, Received: b.now, Fenced: true})
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeFenced})
	for range 5 {
		actions := b.pool.Step(b.now)
		assert.Assert(t, !actions.Fenced)
		for _, x := range actions.Orders {
			assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s, while an earlier delivery of the start may run on %s", x.Worker, o.Worker)
		}
		b.report(other, nil, nil)
		report(scheduler.RunningTask{Task: o.Task, Run: o.Run})
	}
	latest := b.pool.Hold(o.Worker, b.now)
	assert.Assert(t, latest.Fence > former.Fence)
	b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: latest.Fence, Sent: b.now, Received: b.now, Fenced: true})
	assert.Assert(t, b.pool.Step(b.now).Fenced)
}

// Guards against calls to an earlier incarnation that have a later one's fence: the worker was dropped and is listed again.
func TestFenceOfAWorkerThatIsListedAgainIsHigher(t *testing.T) {
	b := newTestPool("w1")
	former := b.pool.FenceFor("w1")
	b.pool.SetWorkers(b.now, nil)
	b.advance(time.Minute)
	b.pool.Step(b.now)
	assert.Equal(t, b.pool.FenceFor("w1"), uint64(0))
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1"}})
	assert.Assert(t, b.pool.FenceFor("w1") > former)
}

// Guards against starts that a returned worker rejects, as its hold had a higher fence, and that a later incarnation would not tell from those
// to the earlier one.
func TestStartOnAReturnedWorkerHasItsFence(t *testing.T) {
	b := newTestPool("w1")
	former := b.pool.FenceFor("w1")
	for clock := range int64(2) {
		b.reportOf("w1", 6, 10+clock, nil)
	}
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	starts := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Fence, b.pool.Hold("w1", b.now).Fence)
	assert.Assert(t, starts[0].Fence > former)
}
