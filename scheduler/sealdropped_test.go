package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// Guards against two runs of a task over a takeover: a sealed worker that was off the list for a while got tasks again although no one
// had unsealed it, so that a record of it may still tell that nothing starts there.
func TestSealedWorkerThatWasDroppedStaysSealed(t *testing.T) {
	b := newTestPool("w1", "w2")
	list := func(ids ...string) {
		var ws []scheduler.Worker
		for _, id := range ids {
			ws = append(ws, scheduler.Worker{ID: id, Address: id, Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}})
		}
		b.pool.SetWorkers(b.now, ws)
	}
	b.pool.Step(b.now)
	b.advance(2 * time.Second)
	b.report("w2", nil, nil)
	assert.Equal(t, len(b.pool.Seal(b.now)), 1)
	list("w2")
	b.advance(time.Minute)
	b.pool.Step(b.now)
	list("w1")
	b.report("w1", nil, nil)
	b.add("a", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 5000})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 0)
}
