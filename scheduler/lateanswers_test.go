package scheduler_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// reportOf reports the runs and ends of an incarnation in answer to a hold with the worker's present fence.
func (b *testPool) reportOf(worker string, born, clock int64, running []scheduler.RunningTask, ended ...scheduler.EndedRun) {
	b.pool.Report(b.now, scheduler.Report{
		Worker: worker, Fence: b.pool.FenceFor(worker), Born: born, Sent: b.now, Received: b.now, Clock: clock, Running: running, Ended: ended,
	})
}

// orders returns the orders of the next step of one kind.
func (b *testPool) orders(kind scheduler.OrderKind) []scheduler.Order {
	return slices.DeleteFunc(b.pool.Step(b.now).Orders, func(o scheduler.Order) bool { return o.Kind != kind })
}

// Guards against ends that a worker forgets, or that its owner passes over: a report of the earlier incarnation arrives after the next one
// has answered, with higher numbers of ends and a later reading of its clock.
func TestLateReportOfAnEarlierIncarnationChangesNothing(t *testing.T) {
	b := newTestPool("w1")
	b.reportOf("w1", 6, 100, nil)
	b.reportOf("w1", 6, 101, nil)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	starts := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(starts), 1)
	o := starts[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 102})
	b.advance(10 * time.Millisecond)
	b.reportOf("w1", 5, 90_000, nil, scheduler.EndedRun{Number: 57, Task: scheduler.TaskID{Job: "b"}, Run: 1, End: scheduler.EndSucceeded})
	h := b.pool.Hold("w1", b.now)
	assert.Equal(t, h.LastSeen, int64(0))
	assert.Assert(t, h.Until < 90_000)
	b.reportOf("w1", 6, 150, nil, scheduler.EndedRun{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded})
	a := b.pool.Step(b.now)
	assert.Equal(t, len(a.Orders), 0)
	for _, r := range a.Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1))
}

func neverBegan(a scheduler.Actions) bool {
	return slices.ContainsFunc(a.Decisions, func(d scheduler.Decision) bool { return d.Kind == "never began" })
}

// Guards against two runs of a task: the earlier incarnation has acknowledged a stop of an unanswered start, and its answer arrives after the
// next one has answered, which executes the start then.
func TestStopAcknowledgedByAnEarlierIncarnationProvesNoAbsence(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.orders(scheduler.OrderStart)[0]
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
	b.advance(400 * time.Millisecond)
	b.report(o.Worker, nil, nil)
	former := b.orders(scheduler.OrderStop)
	assert.Equal(t, len(former), 1)
	b.reportOf(o.Worker, 6, 10, nil)
	b.pool.Result(b.now, scheduler.OrderResult{Order: former[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
	b.advance(10 * time.Millisecond)
	b.reportOf(o.Worker, 6, 20, nil)
	a := b.pool.Step(b.now)
	assert.Assert(t, !neverBegan(a))
	stops := a.Orders
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Kind, scheduler.OrderStop)
	assert.Assert(t, stops[0].Fence > former[0].Fence)
	b.pool.Result(b.now, scheduler.OrderResult{Order: stops[0], Outcome: scheduler.OutcomeDone, Clock: 25})
	b.advance(10 * time.Millisecond)
	b.reportOf(o.Worker, 6, 35, nil)
	assert.Assert(t, neverBegan(b.pool.Step(b.now)))
}

// Guards against a run whose pace is never set again: its start reaches the next incarnation, and the answer to a change of its pace, sent to
// the earlier one, arrives after that has answered.
func TestPaceAnsweredByAnEarlierIncarnationIsOrderedAgain(t *testing.T) {
	b := newTestPool("w1")
	b.add("serve", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true, TargetMs: 50})
	b.add("fill", &pb.JobStep{Count: 1, CpuMilli: 1000, Fills: true, EstimateMs: 60_000})
	starts := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(starts), 2)
	serve, fill := starts[0], starts[1]
	for _, o := range starts {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	}
	overTarget := scheduler.RunningTask{Task: serve.Task, Run: serve.Run, Percent: 100, Tail: 60}
	b.pool.Report(b.now, scheduler.Report{
		Worker: "w1", Fence: b.pool.FenceFor("w1"), Born: 5, Sent: b.now.Add(-time.Millisecond), Received: b.now, Clock: b.clock + 1,
		Running: []scheduler.RunningTask{overTarget},
	})
	b.advance(700 * time.Millisecond)
	former := b.orders(scheduler.OrderPace)
	assert.Equal(t, len(former), 1)
	running := []scheduler.RunningTask{overTarget, {Task: fill.Task, Run: fill.Run, Percent: 30}}
	b.reportOf("w1", 6, 10, running)
	b.pool.Result(b.now, scheduler.OrderResult{Order: former[0], Outcome: scheduler.OutcomeDone, Clock: b.clock})
	var again []scheduler.Order
	for i := range 20 {
		b.advance(100 * time.Millisecond)
		b.reportOf("w1", 6, int64(100*i+110), running)
		again = append(again, b.orders(scheduler.OrderPace)...)
	}
	assert.Assert(t, len(again) > 0 && again[0].Fence > former[0].Fence)
}

// Guards against starts that a worker rejects for their ticket, or a worker that a step never uses: it has returned, perhaps as one of another
// kind, while the policy service was asked about the earlier incarnation.
func TestAdviceOnAnEarlierIncarnationIsAskedForAgain(t *testing.T) {
	b := newTestPool("w1")
	b.pool.SetQueues(b.now, []queue.Queue{{Name: "q", MaxAttempts: 3, Stretch: 2, TargetDuration: time.Second, Advice: &queue.Advice{TicketLifetime: time.Minute}}})
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	asked := b.pool.Step(b.now).Advice
	assert.Equal(t, len(asked), 1)
	for clock := range int64(2) {
		b.reportOf("w1", 6, 10+clock, nil)
	}
	answer := func(ticket string) {
		b.pool.ApplyAdvice(b.now, scheduler.Advice{
			Job: "a", Asked: []string{"w1"}, Tickets: map[string]string{"w1": ticket}, ValidFor: time.Minute,
		})
	}
	answer("earlier")
	a := b.pool.Step(b.now)
	assert.Equal(t, len(a.Orders), 0)
	assert.Equal(t, len(a.Advice), 1)
	answer("present")
	starts := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ticket, "present")
}

// Guards against a run that hangs for good: its start has reached the next incarnation of its worker, and nothing notices that it makes no
// progress.
func TestRunThatReachesTheNextIncarnationAndHangsIsStopped(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	starts := b.orders(scheduler.OrderStart)
	assert.Equal(t, len(starts), 1)
	b.pool.Result(b.now, scheduler.OrderResult{Order: starts[0], Outcome: scheduler.OutcomeDone, Clock: 5})
	running := []scheduler.RunningTask{{Task: starts[0].Task, Run: starts[0].Run, Percent: 30}}
	var stops []scheduler.Order
	for i := range int64(600) {
		b.advance(100 * time.Millisecond)
		b.reportOf("w1", 6, 100*i+110, running)
		stops = append(stops, b.orders(scheduler.OrderStop)...)
	}
	assert.Assert(t, len(stops) > 0)
}
