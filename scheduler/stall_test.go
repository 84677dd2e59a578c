package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against a task that stands still wherever it runs making one worker after the other suspect.
func TestTaskThatStandsStillEverywhereBlamesFewWorkers(t *testing.T) {
	workers := []string{"w1", "w2", "w3", "w4", "w5", "w6"}
	b := newTestPool(workers...)
	b.add("still", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 500})
	running := map[string][]scheduler.RunningTask{}
	suspects := map[string]bool{}
	for range 1200 {
		ended := map[string][]scheduler.EndedRun{}
		a := b.pool.Step(b.now)
		for _, d := range a.Decisions {
			if d.Kind == "suspect" {
				suspects[d.Worker] = true
			}
		}
		for _, o := range a.Orders {
			b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
			if o.Kind == scheduler.OrderStart {
				running[o.Worker] = []scheduler.RunningTask{{Task: o.Task, Run: o.Run, Percent: 10}}
				continue
			}
			running[o.Worker] = nil
			b.lastEnd++
			ended[o.Worker] = []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndStopped}}
		}
		b.advance(100 * time.Millisecond)
		for _, w := range workers {
			b.report(w, running[w], ended[w])
		}
	}
	assert.Assert(t, len(suspects) <= 2, "%v", suspects)
}
