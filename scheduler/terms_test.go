package scheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// Guards against a job that is failed too early, or whose tasks start too often, once its queue was renamed, removed or changed and
// another owner has taken over: the attempts in force when it was accepted apply.
func TestAttemptsInForceAtAcceptanceApply(t *testing.T) {
	tables := map[string][]queue.Queue{
		"removed": nil,
		"renamed": {{Name: "q2", MaxAttempts: 5}},
		"more":    {{Name: "q", MaxAttempts: 9}},
		"fewer":   {{Name: "q", MaxAttempts: 1}},
	}
	for name, queues := range tables {
		for _, attempts := range []int64{2, 5} {
			t.Run(name, func(t *testing.T) {
				b := newTestPool("w1")
				b.pool = scheduler.New(scheduler.Config{Fence: 8, Lease: simConfig.Lease, MaxLease: simConfig.MaxLease})
				b.pool.SetQueues(b.now, queues)
				rec := &pb.JobRecord{Id: "j", Queue: "q", Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 100}}}}
				rec.Terms = &pb.JobTerms{MaxAttempts: attempts}
				b.pool.Load(b.now, []*pb.JobRecord{rec}, nil, nil)
				b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}})
				failures := int64(0)
				for range 400 {
					b.report("w1", nil, nil)
					for _, o := range b.pool.Step(b.now).Orders {
						b.lastEnd++
						failures++
						b.report("w1", nil, []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: scheduler.EndFailed}})
					}
					b.advance(100_000_000)
				}
				assert.Equal(t, failures, attempts)
			})
		}
	}
}

// Guards against jobs that lose their priority when their queue leaves the configuration and another owner takes over.
func TestPriorityInForceAtAcceptanceApplies(t *testing.T) {
	b := newTestPool("w1")
	b.pool = scheduler.New(scheduler.Config{Fence: 8, Lease: simConfig.Lease, MaxLease: simConfig.MaxLease})
	b.pool.SetQueues(b.now, []queue.Queue{{Name: "q2"}})
	record := func(id string, priority int64) *pb.JobRecord {
		return &pb.JobRecord{
			Id: id, Queue: id, Terms: &pb.JobTerms{Priority: priority},
			Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 4000, EstimateMs: 1000}}},
		}
	}
	b.pool.Load(b.now, []*pb.JobRecord{record("low", 7), record("high", 1), record("middle", 3)}, nil, nil)
	b.pool.SetWorkers(b.now, []scheduler.Worker{{ID: "w1", Address: "w1", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 4000}}})
	b.report("w1", nil, nil)
	orders := b.pool.Step(b.now).Orders
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Task.Job, "high")
}

// Guards against a job that starts without advice, and is refused for want of a ticket, after its queue has left the configuration.
func TestAdviceInForceAtAcceptanceApplies(t *testing.T) {
	b := newTestPool("w1")
	b.pool.Add(b.now, &pb.JobRecord{
		Id: "j", Queue: "gone", Terms: &pb.JobTerms{Advised: true, TicketLifetimeMs: 3000},
		Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 100}}},
	})
	actions := b.pool.Step(b.now)
	assert.Equal(t, len(actions.Orders), 0)
	assert.Equal(t, len(actions.Advice), 1)
}
