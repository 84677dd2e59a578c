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
	b := newTestPool("w1", "w2")
	report := func(born, clock int64, running ...scheduler.RunningTask) {
		b.pool.Report(b.now, scheduler.Report{Worker: "w1", Born: born, Sent: b.now, Received: b.now, Clock: clock, Running: running})
	}
	report(5, 100_000)
	late := b.pool.Hold("w1", b.now)
	b.advance(500 * time.Millisecond)
	clock := int64(1000)
	report(6, clock)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000, MaxPerHost: 1}, &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
	var onW1 *scheduler.Order
	for _, o := range b.pool.Step(b.now).Orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: map[string]int64{"w1": clock, "w2": b.clock}[o.Worker]})
		if o.Worker == "w1" {
			onW1 = &o
		}
	}
	assert.Assert(t, onW1 != nil)
	b.advance(100 * time.Millisecond)
	clock += 100
	report(6, clock, scheduler.RunningTask{Task: onW1.Task, Run: onW1.Run})
	asked := b.pool.Hold("w1", b.now)
	// The late hold arrives now, after all others. From here on the worker cannot be reached.
	leaseUntil := max(asked.Until, min(late.Until, clock+simConfig.MaxLease.Milliseconds()))
	for range 80 {
		b.advance(100 * time.Millisecond)
		clock += 98
		b.report("w2", nil, nil)
		for _, o := range b.pool.Step(b.now).Orders {
			assert.Assert(t, o.Task != onW1.Task || o.Kind != scheduler.OrderStart || clock > leaseUntil,
				"started elsewhere %d ms before the lease on w1 has ended", leaseUntil-clock)
		}
	}
}

// Guards against two runs of a task: the next incarnation under the same id has accepted the start, by its own clock, and an answer of the
// earlier one, sent before, with a later reading of its own clock, arrives late and seems to prove that the run is absent. Found by
// TestOwnersThatOverlap, -rapid.seed=132216 (trial code, owner that stands still as a whole).
func TestListOfAnEarlierIncarnationProvesNoAbsence(t *testing.T) {
	b := newTestPool("w1", "w2")
	for _, id := range []string{"w1", "w2"} {
		b.pool.Report(b.now, scheduler.Report{Worker: id, Born: 5, Sent: b.now, Received: b.now, Clock: 100_000})
	}
	sent := b.now
	b.advance(100 * time.Millisecond)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.advance(10 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 1500})
	b.advance(50 * time.Millisecond)
	b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Born: 5, Sent: sent, Received: b.now, Clock: 100_050})
	for _, x := range b.pool.Step(b.now).Orders {
		assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s while the later incarnation of %s runs it", x.Worker, o.Worker)
	}
}
