package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against two runs of a task: a hold to the earlier incarnation, with an expiry on its clock, got no answer and is carried out late by the next one, which
// caps it to the longest lease. The owner knows only of what it has asked for since, and starts the task elsewhere while the worker runs it.
func TestLateHoldOfAnEarlierIncarnationExtendsTheLease(t *testing.T) {
	const beforeFirstAnswer, beforeStart, afterStart = 0, 1, 2
	for name, lateAt := range map[string]int{
		"before the first answer": beforeFirstAnswer, "before the start": beforeStart, "after newer calls": afterStart,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			clock := int64(100_000)
			var fence uint64
			var leaseUntil int64
			execute := func(h scheduler.Hold) {
				if h.Fence >= fence { // the worker does nothing for a lower one
					fence, leaseUntil = h.Fence, max(leaseUntil, min(h.Until, clock+simConfig.MaxLease.Milliseconds()))
				}
			}
			report := func(born int64, running ...scheduler.RunningTask) {
				h := b.pool.Hold("w1", b.now)
				execute(h)
				b.pool.Report(b.now, scheduler.Report{Worker: "w1", Fence: h.Fence, Born: born, Sent: b.now, Received: b.now, Clock: clock, Running: running})
			}
			report(5)
			late := b.pool.Hold("w1", b.now)
			b.advance(500 * time.Millisecond)
			clock, fence, leaseUntil = 1000, 0, 0
			if lateAt == beforeFirstAnswer {
				execute(late)
			}
			report(6)
			assert.DeepEqual(t, b.pool.Step(b.now).Poll, []string{"w1"})
			if lateAt == beforeStart {
				execute(late)
			}
			b.add("a", &pb.JobStep{Count: 2, CpuMilli: 3000, EstimateMs: 60_000}) // w2 has room for one
			orders := b.pool.Step(b.now).Orders
			assert.Equal(t, len(orders), 1)
			onW2 := orders[0]
			assert.Equal(t, onW2.Worker, "w2", "started on w1, which may not reject calls to its earlier incarnation yet")
			b.pool.Result(b.now, scheduler.OrderResult{Order: onW2, Outcome: scheduler.OutcomeDone, Clock: b.clock})
			report(6)
			orders = b.pool.Step(b.now).Orders
			assert.Equal(t, len(orders), 1)
			onW1 := orders[0]
			assert.Equal(t, onW1.Worker, "w1")
			leaseUntil = max(leaseUntil, onW1.Until)
			b.pool.Result(b.now, scheduler.OrderResult{Order: onW1, Outcome: scheduler.OutcomeDone, Clock: clock})
			b.advance(100 * time.Millisecond)
			clock += 100
			report(6, scheduler.RunningTask{Task: onW1.Task, Run: onW1.Run})
			if lateAt == afterStart {
				execute(late)
			}
			// From here on the worker cannot be reached.
			startedAgain := false
			for range 80 {
				b.advance(100 * time.Millisecond)
				clock += 98
				b.report("w2", nil, []scheduler.EndedRun{{Number: 1, Task: onW2.Task, Run: onW2.Run, End: scheduler.EndSucceeded}})
				for _, o := range b.pool.Step(b.now).Orders {
					again := o.Task == onW1.Task && o.Kind == scheduler.OrderStart
					startedAgain = startedAgain || again
					assert.Assert(t, !again || clock > leaseUntil, "started elsewhere %d ms before the lease on w1 has ended", leaseUntil-clock)
				}
			}
			assert.Assert(t, startedAgain)
		})
	}
}

// Guards against two runs of a task: the next incarnation under the same id has accepted the start, by its own clock, and an answer of the
// earlier one, sent before, with a later reading of its own clock, arrives late and seems to prove that the run is absent. Found by
// TestOwnersThatOverlap, -rapid.seed=132216 (trial code, owner that stands still as a whole).
func TestListOfAnEarlierIncarnationProvesNoAbsence(t *testing.T) {
	b := newTestPool("w1", "w2")
	for _, id := range []string{"w1", "w2"} {
		b.pool.Report(b.now, scheduler.Report{Worker: id, Fence: b.pool.FenceFor(id), Born: 5, Sent: b.now, Received: b.now, Clock: 100_000})
	}
	sent := b.now
	b.advance(100 * time.Millisecond)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.advance(10 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 1500})
	b.advance(50 * time.Millisecond)
	b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Born: 5, Sent: sent, Received: b.now, Clock: 100_050})
	for _, x := range b.pool.Step(b.now).Orders {
		assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s while the later incarnation of %s runs it", x.Worker, o.Worker)
	}
}
