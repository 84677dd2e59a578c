package scheduler_test

import (
	"testing"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
)

// Pattern: a persistent task is placed while a wave of upkeep is under way. It goes to a worker whose host is not due, and to
// one that is due only if no other has room.
func TestPersistentTasksAvoidHostsThatAreDueForUpkeep(t *testing.T) {
	b := newTestPool("w1", "w2", "w3")
	b.pool.SetDue([]string{"w1", "w2"})
	b.add("a", &pb.JobStep{Count: 2, CpuMilli: 3000, Persistent: true})
	placed := map[string]int{}
	for _, o := range b.pool.Step(b.now).Orders {
		placed[o.Worker]++
	}
	assert.Equal(t, placed["w3"], 1)
	assert.Equal(t, placed["w1"]+placed["w2"], 1)
	b.add("b", &pb.JobStep{Count: 1, CpuMilli: 1000, EstimateMs: 1000})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 1)
}

// Pattern: a job of persistent tasks arrives at a pool without room for all of them. The status tells the need of those that
// wait, while batch tasks run too.
func TestStatusTellsTheNeedOfWaitingPersistentTasks(t *testing.T) {
	b := newTestPool("w1")
	b.add("batch", &pb.JobStep{Count: 1, CpuMilli: 500, MemoryMb: 100, EstimateMs: 1000})
	b.add("lasting", &pb.JobStep{Count: 5, CpuMilli: 1000, MemoryMb: 1500, Persistent: true})
	assert.Equal(t, len(b.pool.Step(b.now).Orders), 3)
	status := b.pool.Status(b.now)
	assert.Equal(t, status.GetWaitingPersistentCpuMilli(), int64(3000))
	assert.Equal(t, status.GetWaitingPersistentMemoryMb(), int64(4500))
	assert.Equal(t, status.GetWorkers()[0].GetPersistentCpuMilli(), int64(2000))
	assert.Equal(t, status.GetWorkers()[0].GetPersistentMemoryMb(), int64(3000))
}
