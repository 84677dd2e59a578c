package scheduler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// A stop without an answer may be carried out after a report that still lists the run as available. Stopping another
// task of the step because of that report would exceed the disruption budget.
func TestUnansweredStopCountsAgainstBudget(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4"}
	b := newTestPool(workers...)
	b.add("serve", &pb.JobStep{Count: 3, CpuMilli: 3000, Persistent: true, MayMiss: 1, MaxPerHost: 1})
	running := map[string][]scheduler.RunningTask{}
	for _, o := range b.pool.Step(b.now).Orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		running[o.Worker] = []scheduler.RunningTask{{Task: o.Task, Run: o.Run, Percent: 100}}
	}
	assert.Equal(t, len(running), 3)
	report := func() {
		for _, id := range workers {
			b.report(id, running[id], nil)
		}
	}
	b.advance(2 * time.Second)
	report()
	b.pool.Evacuate(b.now, slices.Collect(maps.Keys(running)))
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	first := orders[0]
	assert.Equal(t, first.Kind, scheduler.OrderStop)
	b.advance(500 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: first, Outcome: scheduler.OutcomeUnknown})
	for range 25 {
		b.advance(50 * time.Millisecond)
		report()
		for _, o := range b.pool.Step(b.now).Orders {
			assert.Equal(t, o.Task, first.Task, "at %v, after the unanswered stop", b.now)
			if o.Kind == scheduler.OrderStop {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
			}
		}
	}
}

// Guards against two tasks of a step that are away at once: an owner stops a task, stands still, and repeats the stop when it wakes up, before
// it has read what became of the other tasks. Meanwhile a later owner may have used up the disruption budget.
func TestStopIsNotRepeatedBeyondTheBudgetAfterAPause(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4"}
	b := newTestPool(workers...)
	b.add("serve", &pb.JobStep{Count: 3, CpuMilli: 3000, Persistent: true, MayMiss: 1, MaxPerHost: 1})
	running := map[string][]scheduler.RunningTask{}
	for _, o := range b.pool.Step(b.now).Orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
		running[o.Worker] = []scheduler.RunningTask{{Task: o.Task, Run: o.Run, Percent: 100}}
	}
	report := func() {
		b.advance(50 * time.Millisecond)
		for _, id := range workers {
			b.pool.Hold(id, b.now)
			b.report(id, running[id], nil)
		}
	}
	b.advance(2 * time.Second)
	report()
	evacuated := slices.Sorted(maps.Keys(running))[0]
	b.pool.Evacuate(b.now, []string{evacuated})
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	b.advance(3 * time.Second)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)

	stopped := false
	for range 20 {
		report()
		stopped = stopped || len(b.pool.Step(b.now).Orders) > 0
	}
	assert.Assert(t, stopped, "the move is not decided again")
}
