package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a task that runs again after it has succeeded: a hold that acknowledged ends got no answer and was carried out by the
// next incarnation of the worker, which then forgot as many of its own ends without listing them.
func TestNoBatchTaskStartsWhereItsEndMayBeForgotten(t *testing.T) {
	b := newTestPool("w1")
	step := &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000}
	b.add("a", step)
	o := b.pool.Step(b.now).Orders[0]
	b.report("w1", nil, []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}})
	for _, r := range b.pool.Step(b.now).Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1))
	b.advance(time.Second)
	for clock := range int64(2) {
		b.pool.Report(b.now, scheduler.Report{
			Worker: "w1", Fence: b.pool.FenceFor("w1"), Born: 6, Sent: b.now, Received: b.now, Clock: clock + 1,
		})
	}
	b.add("b", step)
	b.advance(300 * time.Millisecond)
	for _, x := range b.pool.Step(b.now).Orders {
		assert.Assert(t, x.Kind != scheduler.OrderStart)
	}
}
