package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a task that is started again after it has ended done: a later owner has acknowledged the end while a hold of this one
// waited at the worker, so that its answer has neither the run nor the end.
func TestListOfAReplacedOwnerDoesNotProveAnEnd(t *testing.T) {
	b := newTestPool("w1", "w2")
	acquired := b.now
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
	b.pool.SetConfirmed(acquired)
	b.advance(100 * time.Millisecond)
	b.report(o.Worker, []scheduler.RunningTask{{Task: o.Task, Run: o.Run}}, nil)
	b.advance(500 * time.Millisecond)
	b.report(o.Worker, nil, nil)
	for _, x := range b.pool.Step(b.now).Orders {
		assert.Assert(t, x.Kind != scheduler.OrderStart, "started again, although the ownership was not confirmed since the list")
	}
}
