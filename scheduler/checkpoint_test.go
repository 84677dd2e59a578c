package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against saved work that is lost with an owner: the end of a run with its checkpoint is acknowledged before the checkpoint is
// durable, so that the next owner starts the task, or the gang, from an earlier one.
func TestCheckpointOfAnEndIsRecordedBeforeItsAcknowledgement(t *testing.T) {
	for name, gang := range map[string]bool{"task": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool("w1")
			b.add("a", &pb.JobStep{Count: 2, CpuMilli: 1000, EstimateMs: 30_000, Gang: gang, SavesProgress: true})
			orders := b.pool.Step(b.now).Orders
			assert.Equal(t, len(orders), 2)
			var ended []scheduler.EndedRun
			for i, o := range orders {
				b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
				ended = append(ended, scheduler.EndedRun{Number: int64(i + 1), Task: o.Task, Run: o.Run, End: scheduler.EndStopped, Checkpoint: "saved"})
			}
			b.advance(time.Second)
			b.report("w1", nil, ended)
			assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(0))

			var record scheduler.Record
			for range 10 {
				b.advance(100 * time.Millisecond)
				b.report("w1", nil, ended)
				for _, r := range b.pool.Step(b.now).Records {
					record = r
				}
			}
			assert.Equal(t, record.Progress.GetOccurrences()[0].GetSteps()[0].GetCheckpoints()[0], "saved")
			b.pool.Recorded(b.now, "a", record.Version)
			assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(2))
		})
	}
}
