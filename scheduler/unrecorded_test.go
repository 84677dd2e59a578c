package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a work item that runs again after it has succeeded: the end of a run that was listed once its task was no longer
// needed is acknowledged, while the record that makes it superfluous is not durable.
func TestSuccessOfASuperfluousRunIsKeptUntilTheRecordIsDurable(t *testing.T) {
	for name, occurrences := range map[string]int64{"the job has ended": 1, "the occurrence has completed": 2} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1", "w2")
			b.pool.Add(b.now, &pb.JobRecord{Id: "a", Queue: "q", AcceptedMs: b.now.UnixMilli(), Spec: &pb.JobSpec{
				Steps:       []*pb.JobStep{{Count: 2, CpuMilli: 1000, Gang: true, EstimateMs: 500}},
				RepeatCount: occurrences, StartAtMs: b.now.UnixMilli(), IntervalMs: 60_000,
			}})
			const earlier = 5<<20 + 1
			member := func(index int) scheduler.TaskID { return scheduler.TaskID{Job: "a", Index: index} }
			b.report("w1", nil, []scheduler.EndedRun{{Number: 1, Task: member(0), Run: earlier, End: scheduler.EndSucceeded}})
			b.report("w2", []scheduler.RunningTask{{Task: member(1), Run: earlier}}, nil)
			b.report("w2", nil, []scheduler.EndedRun{{Number: 1, Task: member(1), Run: earlier, End: scheduler.EndSucceeded}})
			b.advance(time.Second)
			records := b.pool.Step(b.now).Records
			assert.Equal(t, len(records), 1)
			for _, id := range []string{"w1", "w2"} {
				assert.Equal(t, b.pool.Hold(id, b.now).LastSeen, int64(0), "%s may forget its end", id)
				assert.Assert(t, b.pool.Occupied(id), "%s may be dropped", id)
			}
			b.pool.Recorded(b.now, "a", records[0].Version)
			for _, id := range []string{"w1", "w2"} {
				assert.Equal(t, b.pool.Hold(id, b.now).LastSeen, int64(1), "%s keeps its end", id)
				assert.Assert(t, !b.pool.Occupied(id))
			}
		})
	}
}
