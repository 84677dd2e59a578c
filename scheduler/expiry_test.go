package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against two runs of a task: an owner that was replaced goes by the time at which a lease would have expired, while its
// successor has extended that lease. Whatever ends by time alone waits for a confirmation of the ownership that began after that time.
func TestExpiryWaitsForAConfirmationThatBeganAfterIt(t *testing.T) {
	start := func(b *testPool) scheduler.Order {
		b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 60_000})
		return b.pool.Step(b.now).Orders[0]
	}
	for name, c := range map[string]struct {
		prepare func(b *testPool)
		kind    string
	}{
		"lease of a run": {func(b *testPool) {
			o := start(b)
			b.advance(time.Millisecond)
			b.report("w1", []scheduler.RunningTask{{Task: o.Task, Run: o.Run}}, nil)
		}, scheduler.DecisionLost},
		"start that a later incarnation may execute": {func(b *testPool) {
			start(b)
			b.pool.MarkUnreachable("w1")
			b.pool.EndIncarnations(b.now, []*pb.WorkerIncarnation{{Id: "w1", Born: 5}})
		}, scheduler.DecisionLost},
		"leases that an earlier owner extended": {func(b *testPool) {
			b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1"}, {ID: "w2", Address: "w2"}})
			b.pool.Load(b.now, nil, nil, nil)
		}, scheduler.DecisionTakenOver},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1")
			b.pool.Step(b.now)
			c.prepare(b)
			b.pool.SetConfirmed(b.now)
			step := func(advance time.Duration) (decided, confirm bool) {
				b.advance(advance)
				actions := b.pool.Step(b.now)
				for _, d := range actions.Decisions {
					decided = decided || d.Kind == c.kind
				}
				return decided, actions.Confirm
			}
			const interval = 100 * time.Millisecond
			confirm := false
			for range 300 {
				var decided bool
				decided, confirm = step(interval)
				assert.Assert(t, !decided)
				if confirm {
					break
				}
				b.pool.SetConfirmed(b.now)
			}
			assert.Assert(t, confirm, "no confirmation was requested")
			for range 50 { // the confirmation of the step before the expiry is still the latest
				decided, confirm := step(interval)
				assert.Assert(t, !decided && confirm)
			}
			b.pool.SetConfirmed(b.now)
			decided, confirm := step(0)
			assert.Assert(t, decided && !confirm)
		})
	}
}
