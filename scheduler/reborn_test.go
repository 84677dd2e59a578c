package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/samber/lo"
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
			Worker: orders[0].Worker, Fence: b.pool.FenceFor(orders[0].Worker), Born: 6, Sent: b.now, Received: b.now, Clock: b.clock, Running: running,
		})
	}
	reportNext()
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.pool.Result(b.now, scheduler.OrderResult{Order: orders[0], Outcome: scheduler.OutcomeDone, Clock: b.clock + 1})
	b.clock++
	reportNext(scheduler.RunningTask{Task: orders[0].Task, Run: orders[0].Run})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
}

// Guards against two runs of a task: an entry of the registry that names a later start of a live worker, which another writer may have
// left, ended its runs. Only an answer of the later incarnation does.
func TestRegistryEntryEndsNoRuns(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	running := []scheduler.RunningTask{{Task: o.Task, Run: o.Run}}
	b.advance(time.Millisecond)
	b.report(o.Worker, running, nil)
	listed := []scheduler.Worker{{ID: "w1", Address: "w1", Born: 5}, {ID: "w2", Address: "w2", Born: 5}}
	for i := range listed {
		listed[i].Capacity = scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
		if listed[i].ID == o.Worker {
			listed[i].Born = 6
		}
	}
	b.pool.SetWorkers(b.now, listed)
	lost := func(a scheduler.Actions) int {
		return lo.CountBy(a.Decisions, func(d scheduler.Decision) bool { return d.Kind == scheduler.DecisionLost })
	}
	a := b.pool.Step(b.now)
	assert.Equal(t, lost(a), 0)
	assert.DeepEqual(t, a.Poll, []string{o.Worker})
	b.advance(time.Millisecond)
	b.report(o.Worker, running, nil)
	assert.Equal(t, lost(b.pool.Step(b.now)), 0)
	b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Born: 6, Sent: b.now, Received: b.now, Clock: 1})
	assert.Equal(t, lost(b.pool.Step(b.now)), 1)
}
