package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against two runs of a task whose log does not tell why the first one counted as over: each kind of evidence has a reason of
// its own, told with the worker.
func TestEvidenceOfEndsIsTold(t *testing.T) {
	const silence = 50 * time.Millisecond
	for reason, prove := range map[string]func(b *testPool, o scheduler.Order){
		"another instance answers at its address": func(b *testPool, o scheduler.Order) {
			b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Sent: b.now, Received: b.now, Gone: true})
		},
		"a later incarnation has answered": func(b *testPool, o scheduler.Order) {
			b.pool.Report(b.now, scheduler.Report{Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Born: 6, Sent: b.now, Received: b.now, Clock: 1})
		},
		"its host is moving, in upkeep or runs another worker": func(b *testPool, o scheduler.Order) {
			b.pool.MarkUnreachable(o.Worker)
			b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}})
		},
		"not listed by the worker": func(b *testPool, o scheduler.Order) { b.report(o.Worker, nil, nil) },
		"lease expired": func(b *testPool, _ scheduler.Order) {
			b.advance(time.Minute)
		},
	} {
		t.Run(reason, func(t *testing.T) {
			b := newTestPool("w1")
			b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
			o := b.pool.Step(b.now).Orders[0]
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
			b.advance(time.Millisecond)
			b.report(o.Worker, []scheduler.RunningTask{{Task: o.Task, Run: o.Run}}, nil)
			b.pool.Step(b.now)
			b.advance(silence)
			prove(b, o)
			lost := 0
			for _, d := range b.pool.Step(b.now).Decisions {
				if d.Kind != scheduler.DecisionLost && d.Kind != scheduler.DecisionWorkerEnded {
					continue
				}
				assert.Equal(t, d.Reason, reason)
				assert.Equal(t, d.Worker, o.Worker)
				assert.Assert(t, d.Silence >= silence || reason == "not listed by the worker")
				assert.Assert(t, d.Kind != scheduler.DecisionWorkerEnded || d.Born == 5 && d.Count == 1)
				if d.Kind == scheduler.DecisionLost {
					lost++
				}
			}
			assert.Equal(t, lost, 1)
		})
	}
}

// Guards against two runs of a task: while a new owner waited for the first answer of a live worker, a wrong list of hosts ended that
// wait. A list ends only workers that do not answer.
func TestEndOfAWorkerThatHasNotFailedToAnswerIsIgnored(t *testing.T) {
	b := newTestPool("w2")
	capacity := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Born: 5, Capacity: capacity}, {ID: "w2", Address: "w2", Capacity: capacity}})
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	ended := []*pb.WorkerIncarnation{{Id: "w1", Born: 5}}
	b.pool.EndIncarnations(b.now, ended)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
	b.pool.MarkUnreachable("w1")
	b.pool.EndIncarnations(b.now, ended)
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
}
