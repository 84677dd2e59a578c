package scheduler_test

import (
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
