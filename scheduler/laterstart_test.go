package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against a worker that gets no task any more: before its first answer, an entry of another writer named a later start, and the
// worker's own answers and entries counted as those of an earlier incarnation from then on.
func TestEntryWithALaterStartBeforeTheFirstAnswerIsForgotten(t *testing.T) {
	b := newTestPool()
	capacity := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
	for _, born := range []int64{5, 6, 5} {
		b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Born: born, Capacity: capacity}})
	}
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	started := 0
	for range 300 {
		b.advance(100 * time.Millisecond)
		b.report("w1", nil, nil)
		started += len(b.pool.Step(b.now).Orders)
	}
	assert.Assert(t, started > 0)
}
