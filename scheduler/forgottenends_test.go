package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// returnWorker lets w1 succeed with a task, acknowledges that if told to, and returns it under its id.
func returnWorker(t *testing.T, acknowledge, answered bool) *testPool {
	t.Helper()
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	started := b.pool.Step(b.now).Orders
	assert.Equal(t, len(started), 1)
	b.end("w1", started[0], scheduler.EndSucceeded)
	for _, r := range b.pool.Step(b.now).Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	if acknowledge {
		assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1))
	}
	if answered {
		b.answerHold(5, 1, nil, nil)
		b.pool.AckSettled("w1")
		assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(0), "acknowledged again")
	}
	b.advance(time.Second)
	b.clock = 0
	b.answerHold(6, 0, nil, nil)
	b.answerHold(6, 0, nil, nil)
	return b
}

func (b *testPool) end(worker string, o scheduler.Order, how scheduler.RunEnd) {
	b.lastEnd++
	b.report(worker, nil, []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: how}})
}

// answerHold reports for an incarnation of w1 in answer to a hold that acknowledged ends up to lastSeen.
func (b *testPool) answerHold(born, lastSeen int64, running []scheduler.RunningTask, ended []scheduler.EndedRun) {
	b.clock++
	b.pool.Report(b.now, scheduler.Report{
		Worker: "w1", Fence: b.pool.FenceFor("w1"), Born: born, Sent: b.now, Received: b.now, Clock: b.clock, LastSeen: lastSeen,
		Running: running, Ended: ended,
	})
}

func nextStarts(b *testPool) (orders []scheduler.Order) {
	b.advance(300 * time.Millisecond)
	for _, o := range b.pool.Step(b.now).Orders {
		if o.Kind == scheduler.OrderStart {
			orders = append(orders, o)
		}
	}
	return orders
}

// Guards against a task that runs again after it has succeeded: a hold that acknowledged ends got no answer and was carried out by the
// next incarnation of the worker, which then forgot as many of its own ends without listing them.
func TestNoBatchTaskStartsWhereItsEndMayBeForgotten(t *testing.T) {
	b := returnWorker(t, true, false)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	assert.Equal(t, len(nextStarts(b)), 0)
	b.add("c", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000, Persistent: true})
	persistent := nextStarts(b)
	assert.Equal(t, len(persistent), 1, "a persistent task may start again whatever its end")
	b.answerHold(6, 0, nil, []scheduler.EndedRun{{Number: 2, Task: persistent[0].Task, Run: persistent[0].Run, End: scheduler.EndFailed}})
	isB := func(o scheduler.Order) bool { return o.Task.Job == "b" }
	assert.Assert(t, slices.ContainsFunc(nextStarts(b), isB), "a worker that lists an end lists all later ones")
}

// Guards against the same where the next incarnation can only have carried out a hold of an earlier owner: one task at a time starts there
// until it has listed an end, and none for a while once a run is missing.
func TestOneBatchTaskStartsUntilAReturnedWorkerHasListedAnEnd(t *testing.T) {
	for _, acknowledge := range []bool{false, true} {
		b := returnWorker(t, acknowledge, acknowledge)
		b.add("b", &pb.JobStep{Count: 2, CpuMilli: 1000, EstimateMs: 5000})
		first := nextStarts(b)
		assert.Equal(t, len(first), 1)
		b.pool.Result(b.now, scheduler.OrderResult{Order: first[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
		b.answerHold(6, 0, []scheduler.RunningTask{{Task: first[0].Task, Run: first[0].Run}}, nil)
		assert.Equal(t, len(nextStarts(b)), 0)
		b.answerHold(6, 0, nil, nil)
		assert.Equal(t, len(nextStarts(b)), 0)
	}
}
