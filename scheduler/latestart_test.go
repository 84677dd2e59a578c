package scheduler_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against two runs of a task: its start got no answer, the list of hosts proved the end of the worker, and the start was carried
// out later by the next incarnation under the same id.
func TestUnansweredStartOutlastsAProvedEnd(t *testing.T) {
	for name, answered := range map[string]bool{"no answer": true, "under way": false} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
			o := b.pool.Step(b.now).Orders[0]
			other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
			if answered {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
			}
			for range 30 {
				b.pool.MarkUnreachable(o.Worker)
				b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}})
				b.advance(100 * time.Millisecond)
				b.report(other, nil, nil)
				for _, x := range b.pool.Step(b.now).Orders {
					assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s while its start may arrive at %s", x.Worker, o.Worker)
				}
			}
		})
	}
}

// Guards against a task that stays down for a whole lease although its start can no longer be executed: the start got no answer, its worker
// ended, and another worker is known to have succeeded it.
func TestUnansweredStartEndsWithASuccessor(t *testing.T) {
	type prove func(b *testPool, o scheduler.Order)
	end := func(succeeded bool) prove {
		return func(b *testPool, o scheduler.Order) {
			b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5, Succeeded: succeeded}})
		}
	}
	wrongInstance := func(address string) prove {
		return func(b *testPool, o scheduler.Order) {
			b.pool.Report(b.now, scheduler.Report{
				Worker: o.Worker, Address: cmp.Or(address, o.Address), Sent: b.now, Received: b.now, Gone: true,
			})
		}
	}
	for name, c := range map[string]struct {
		proofs []prove
		starts bool
	}{
		"the host runs another worker":            {[]prove{end(true)}, true},
		"the host is moving, then runs another":   {[]prove{end(false), end(true)}, true},
		"another worker answers at the address":   {[]prove{end(false), wrongInstance("")}, true},
		"the end alone":                           {[]prove{end(false), end(false)}, false},
		"another worker answers elsewhere":        {[]prove{end(false), wrongInstance("elsewhere")}, false},
		"the worker has answered since its start": {[]prove{func(b *testPool, o scheduler.Order) { b.report(o.Worker, nil, nil) }, end(true)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true})
			o := b.pool.Step(b.now).Orders[0]
			other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeUnknown})
			b.pool.MarkUnreachable(o.Worker)
			for _, prove := range c.proofs {
				b.advance(100 * time.Millisecond)
				prove(b, o)
				b.pool.Step(b.now)
			}
			started := false
			for range 20 {
				b.advance(100 * time.Millisecond)
				b.report(other, nil, nil)
				started = started || slices.ContainsFunc(b.pool.Step(b.now).Orders, func(x scheduler.Order) bool {
					return x.Kind == scheduler.OrderStart && x.Worker == other
				})
			}
			assert.Equal(t, started, c.starts)
		})
	}
}

// Guards against two runs of a task: the end of a worker is proved while a start is under way, the next incarnation under the same id
// accepts that start, and the proof, which the owner of the fleet repeats with each status, ends the accepted run too. No hold has failed in
// between.
func TestRepeatedProofEndsNoRunOfALaterIncarnation(t *testing.T) {
	b := newTestPool("w1", "w2")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, Persistent: true})
	o := b.pool.Step(b.now).Orders[0]
	other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
	b.advance(100 * time.Millisecond)
	b.pool.MarkUnreachable(o.Worker)
	end := []*pb.WorkerIncarnation{{Id: o.Worker, Born: 5}}
	b.pool.EndIncarnations(b.now, end)
	b.pool.Step(b.now)
	b.advance(100 * time.Millisecond)
	b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: 10})
	b.pool.EndIncarnations(b.now, end)
	for range 30 {
		for _, x := range b.pool.Step(b.now).Orders {
			assert.Assert(t, x.Kind != scheduler.OrderStart, "started on %s, while the later incarnation of %s runs it", x.Worker, o.Worker)
		}
		b.advance(100 * time.Millisecond)
		b.report(other, nil, nil)
	}
}
