package scheduler_test

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a task that ran twice without a trace of why: the log tells of a worker that no earlier owner has recorded, and of the
// run that had succeeded.
func TestRunsOfAnUnrecordedWorkerAreTold(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	started := b.pool.Step(b.now).Orders
	assert.Equal(t, len(started), 1)
	earlier := scheduler.EndedRun{Number: 1, Task: started[0].Task, Run: 5<<20 + 1, End: scheduler.EndSucceeded}
	worker := scheduler.Worker{ID: "w2", Address: "w2", Unused: true, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1"}, worker})
	b.advance(time.Second)
	b.report("w2", nil, []scheduler.EndedRun{earlier})
	told := lo.FilterMap(b.pool.Step(b.now).Decisions, func(d scheduler.Decision, _ int) (scheduler.Decision, bool) {
		return d, d.Kind == scheduler.DecisionUnrecordedRuns || d.Kind == scheduler.DecisionStartedAgain
	})
	assert.Equal(t, len(told), 2)
	assert.Equal(t, told[0].Worker, "w2")
	assert.Equal(t, told[0].Count, 1)
	assert.Equal(t, told[1].Run, earlier.Run)
	assert.Equal(t, told[1].Other, started[0].Run)
}
