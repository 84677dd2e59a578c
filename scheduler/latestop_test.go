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

// A stop without an answer was carried out after a list that still showed the run at work. Another task of the step had been
// stopped on the word of that list: more were away than the budget allows.
func TestStopWithoutAnswerCountsAsAway(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4"}
	b := newBare(workers...)
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
	b.pass(2 * time.Second)
	report()
	b.pool.Evacuate(b.now, slices.Collect(maps.Keys(running)))
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	first := orders[0]
	assert.Equal(t, first.Kind, scheduler.OrderStop)
	b.pass(500 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: first, Outcome: scheduler.OutcomeUnknown})
	for range 25 {
		b.pass(50 * time.Millisecond)
		report()
		for _, o := range b.pool.Step(b.now).Orders {
			assert.Equal(t, o.Task, first.Task, "%v after the stop without an answer", b.now)
			if o.Kind == scheduler.OrderStop {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
			}
		}
	}
}
