package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against a later owner that takes a returned worker for one that nobody has held: its entry has expired, and it was dropped from the
// roster while an acknowledgement to it had no answer. The later owner gets it as Unused and starts batch tasks there at once.
func TestWorkerWithAnUnansweredAcknowledgementStaysRecorded(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	o := b.pool.Step(b.now).Orders[0]
	b.report("w1", nil, []scheduler.EndedRun{{Number: 1, Task: o.Task, Run: o.Run, End: scheduler.EndSucceeded}})
	for _, r := range b.pool.Step(b.now).Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	assert.Equal(t, b.pool.Hold("w1", b.now).LastSeen, int64(1)) // without an answer
	b.advance(10 * time.Second)
	b.pool.Step(b.now)
	b.pool.MarkUnlisted("w1")
	assert.Assert(t, b.pool.Occupied("w1"), "dropped from the roster")
}
