package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a task that is started again after it has ended done: a later owner has acknowledged the end before a draining worker
// restarted, and this one hears of the restart.
func TestRestartHeardByAReplacedOwnerStartsNothingAgain(t *testing.T) {
	steps := map[string]*pb.JobStep{
		"single": {Count: 1, CpuMilli: 1000, EstimateMs: 5000},
		"gang":   {Count: 1, Gang: true, CpuMilli: 1000, EstimateMs: 5000},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			b.pool.SetConfirmed(b.now)
			b.add("a", step)
			o := b.pool.Step(b.now).Orders[0]
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone})
			b.report(o.Worker, []scheduler.RunningTask{{Task: o.Task, Run: o.Run}}, nil)
			other := map[string]string{"w1": "w2", "w2": "w1"}[o.Worker]
			room := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
			b.pool.SetWorkers(b.now, []scheduler.Worker{
				{ID: o.Worker, Address: o.Worker, Capacity: room, Draining: true, DrainLeft: time.Minute}, {ID: other, Address: other, Capacity: room},
			})
			b.advance(500 * time.Millisecond)
			b.pool.Report(b.now, scheduler.Report{
				Worker: o.Worker, Fence: b.pool.FenceFor(o.Worker), Born: 6, Sent: b.now, Received: b.now, Clock: 1,
			})
			run := func(confirmed bool) (starts int) {
				for range 20 {
					b.advance(100 * time.Millisecond)
					b.report(other, nil, nil)
					if confirmed {
						b.pool.SetConfirmed(b.now)
					}
					for _, x := range b.pool.Step(b.now).Orders {
						if x.Kind == scheduler.OrderStart {
							starts++
							b.pool.Result(b.now, scheduler.OrderResult{Order: x, Outcome: scheduler.OutcomeDone})
						}
					}
				}
				return starts
			}
			assert.Equal(t, run(false), 0, "started again, although the ownership was not confirmed since the restart")
			assert.Assert(t, run(true) > 0)
		})
	}
}
