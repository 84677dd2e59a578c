package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a step that uses a worker which may forget ends as if it were any other: its tasks ran there when the worker crashed and
// are suspected for that, and the step has waited for room for long. The others of its tasks then start there at once, not to be stopped.
func TestStepWithASuspectedTaskAvoidsAWorkerThatMayForgetEnds(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 2, CpuMilli: 4000, EstimateMs: 5000})
	running := map[string][]scheduler.RunningTask{}
	ended := map[string][]scheduler.EndedRun{}
	clock := map[string]int64{"w1": b.clock, "w2": b.clock}
	born := map[string]int64{"w1": 5, "w2": 5}
	starts, stops := map[string]int{}, map[string]int{}
	step := func() {
		a := b.pool.Step(b.now)
		for _, r := range a.Records {
			b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
		}
		for _, o := range a.Orders {
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: clock[o.Worker]})
			switch o.Kind {
			case scheduler.OrderStart:
				starts[o.Worker]++
				running[o.Worker] = append(running[o.Worker], scheduler.RunningTask{Task: o.Task, Run: o.Run})
			case scheduler.OrderStop:
				stops[o.Worker]++
			case scheduler.OrderPace:
			}
		}
	}
	round := func() {
		b.advance(100 * time.Millisecond)
		for _, id := range []string{"w1", "w2"} {
			clock[id] += 100
			b.reportOf(id, born[id], clock[id], running[id], ended[id]...)
		}
		step()
	}
	step()
	b.add("s", &pb.JobStep{Count: 40, CpuMilli: 1000, EstimateMs: 60_000})
	for range 30 {
		round()
	}
	for _, id := range []string{"w1", "w2"} {
		x := running[id][0]
		running[id], ended[id] = nil, []scheduler.EndedRun{{Number: 1, Task: x.Task, Run: x.Run, End: scheduler.EndSucceeded}}
	}
	for range 2 {
		round()
	}
	assert.Equal(t, len(running["w1"]), 4)
	assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1)) // without an answer
	born["w1"], clock["w1"], running["w1"], ended["w1"] = 6, 50, nil, nil
	starts, stops = map[string]int{}, map[string]int{}
	for range 5 {
		round()
	}
	assert.Assert(t, starts["w1"] <= 1, "%d starts, %d stops on a worker that may forget ends, within half a second of its return", starts["w1"], stops["w1"])
}

// Guards against a pool that starts nothing to last for minutes: the acknowledgement that its returned worker has carried out was of many
// ends, and one proof a second uses up one of them.
func TestWorkerThatForgetsManyEndsIsUsedSoon(t *testing.T) {
	const forgotten = 300
	b := returnForgetful(t)
	b.add("b", &pb.JobStep{Count: 20, CpuMilli: 1000, EstimateMs: 5000})
	var running []scheduler.RunningTask
	var ended []scheduler.EndedRun
	last := int64(0)
	proofs := 0
	lasting := 0
	for range 600 {
		b.advance(100 * time.Millisecond)
		b.answer(6, running, ended...)
		starts := 0
		for _, o := range b.pool.Step(b.now).Orders {
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
			switch o.Kind {
			case scheduler.OrderStart:
				proofs++
				starts++
				running = append(running, scheduler.RunningTask{Task: o.Task, Run: o.Run})
			case scheduler.OrderStop:
				last++
				running = nil
				if last > forgotten {
					ended = append(ended, scheduler.EndedRun{Number: last, Task: o.Task, Run: o.Run, End: scheduler.EndStopped})
				}
			case scheduler.OrderPace:
			}
		}
		if starts > 1 {
			lasting++
		}
	}
	assert.Assert(t, lasting > 0, "in a minute, %d starts to be stopped, %d stopped, none to last", proofs, last)
}

// Guards against a speculative task that starts again long after a run of it has succeeded and was acknowledged in advance, and against
// failed runs that are not counted: TWICE (its second sentence) and BUDGET hold for speculative steps as well.
func TestNoSpeculativeTaskStartsWhereItsEndMayBeForgotten(t *testing.T) {
	b := returnForgetful(t)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000, Speculative: true})
	b.advance(300 * time.Millisecond)
	assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0)
}

// Guards against a short task that succeeds before the stop of its proof arrives, and starts again although its end, which the worker
// has forgotten, counts as acknowledged.
func TestShortTaskThatSucceedsBeforeItsStopIsNotStartedAgain(t *testing.T) {
	b := returnForgetful(t)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 50})
	var proof []scheduler.Order
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.answer(6, nil)
		if proof = b.orders(scheduler.OrderStart); len(proof) > 0 {
			break
		}
	}
	if len(proof) == 0 {
		return // nothing starts to be stopped
	}
	b.pool.Result(b.now, scheduler.OrderResult{Order: proof[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
	for _, o := range b.orders(scheduler.OrderStop) {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	}
	for range 50 {
		b.advance(100 * time.Millisecond)
		b.answer(6, nil) // done, and forgotten
		assert.Equal(t, len(b.orders(scheduler.OrderStart)), 0, "started again after it was done")
	}
}

// Guards against a task that is started, stopped and delayed though nothing is to be proved any more: an end is listed between the order and
// the answer to the start.
func TestRunIsNotStoppedOnceAnEndIsListed(t *testing.T) {
	b := returnForgetful(t)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	b.advance(600 * time.Millisecond)
	b.answer(6, nil)
	o := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(o), 1)
	b.answer(6, nil, scheduler.EndedRun{Number: 3, Task: scheduler.TaskID{Job: "x"}, Run: 1, End: scheduler.EndSucceeded})
	b.pool.Result(b.now, scheduler.OrderResult{Order: o[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
	assert.Equal(t, len(b.orders(scheduler.OrderStop)), 0)
}

// Guards against a later owner that knows nothing of a worker that may forget ends: once the leases of the returned worker are settled, it
// is recorded like any other, and the next owner, for which the incarnation has not returned, starts batch tasks there at once.
func TestWorkerThatMayForgetEndsIsRecordedForLaterOwners(t *testing.T) {
	b := returnForgetful(t)
	for range 100 {
		b.advance(100 * time.Millisecond)
		b.answer(6, nil)
		b.pool.SetConfirmed(b.now)
		b.pool.Step(b.now)
	}
	assert.Assert(t, b.pool.MayForgetEnds("w1"), "nothing tells a later owner of the worker")

	next := newTestPool()
	next.pool.SetWorkers(next.now, []scheduler.Worker{{
		ID: "w1", Address: "w1", Born: 6, RecordedBorn: 6, RecordedMayForget: true, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
	next.answer(6, nil)
	next.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	next.advance(300 * time.Millisecond)
	assert.Equal(t, len(next.orders(scheduler.OrderStart)), 0)
}
