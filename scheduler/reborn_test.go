package scheduler_test

import (
	"testing"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// A start in flight while its worker restarts under the same id may be carried out by the next incarnation, so the
// task must not start elsewhere before the start is answered.
func TestStartUnderWayReachesTheNextLifetime(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	reportNext := func(running ...scheduler.RunningTask) {
		b.clock++
		b.pool.Report(b.now, scheduler.Report{
			Worker: orders[0].Worker, Born: 6, Sent: b.now, Received: b.now, Clock: b.clock, Running: running,
		})
	}
	reportNext()
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.pool.Result(b.now, scheduler.OrderResult{Order: orders[0], Outcome: scheduler.OutcomeDone, Clock: b.clock + 1})
	b.clock++
	reportNext(scheduler.RunningTask{Task: orders[0].Task, Run: orders[0].Run})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
}
