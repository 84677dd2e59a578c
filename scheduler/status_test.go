package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// stoppable tells what the pool says of its only worker.
func (b *bare) stoppable() bool { return b.pool.Status(b.now).GetWorkers()[0].GetStoppable() }

// A new owner does not know what an earlier one has started on a worker that it has not heard yet.
func TestUnheardWorkersAreNotStoppable(t *testing.T) {
	b := &bare{now: time.UnixMilli(simEpoch), clock: 1000}
	cfg := simConfig
	cfg.Fence = 7
	b.pool = scheduler.New(cfg)
	job := &pb.JobRecord{Id: "serve", Queue: "q", Spec: &pb.JobSpec{
		Steps: []*pb.JobStep{{Count: 2, CpuMilli: 1000, Persistent: true, MayMiss: 1}},
	}}
	b.pool.Load(b.now, []*pb.JobRecord{job}, nil, nil)
	room := scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Machine: "m1", Capacity: room}})
	b.pool.Evacuate(b.now, []string{"w1"})
	b.pool.Step(b.now)
	assert.Assert(t, !b.stoppable())
	b.report("w1", []scheduler.RunningTask{
		{Task: scheduler.TaskID{Job: "serve"}, Run: 1, Percent: 100},
		{Task: scheduler.TaskID{Job: "serve", Index: 1}, Run: 2, Percent: 100},
	}, nil)
	b.pool.Step(b.now)
	assert.Assert(t, !b.stoppable())
	b.pool.Cancel(b.now, "serve")
	assert.Assert(t, b.stoppable())
}

// What earlier owners have started on a worker that stays silent has lapsed after the longest lease.
func TestUnheardWorkersAreStoppableAfterTheLease(t *testing.T) {
	b := newBare()
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Machine: "m1"}})
	assert.Assert(t, !b.stoppable())
	b.pass(2 * simConfig.Lease)
	assert.Assert(t, b.stoppable())
}
