package scheduler_test

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// An owner takes over, receives the report of its only worker, and starts the task of a new job there.
func ExamplePool() {
	now := time.UnixMilli(1_000_000)
	pool := scheduler.New(scheduler.Config{Fence: 7, Lease: 8 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute})
	pool.Load(now, nil, nil, nil)
	pool.SetQueues(now, []queue.Queue{{Name: "checks", Pool: "a", MaxAttempts: 3, Stretch: 2}})
	pool.SetWorkers(now, []scheduler.Worker{{
		ID: "w1", Address: "10.0.0.1:80", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 1024},
	}})
	pool.Report(now, scheduler.Report{Worker: "w1", Fence: pool.Hold("w1", now).Fence, Born: 5, Sent: now, Received: now, Clock: 2000})
	pool.Add(now, &pb.JobRecord{Id: "j1", Queue: "checks", AcceptedMs: now.UnixMilli(), Spec: &pb.JobSpec{
		Payload: "text", Steps: []*pb.JobStep{{Count: 1, CpuMilli: 500, MemoryMb: 64, EstimateMs: 800}},
	}})
	for _, o := range pool.Step(now).Orders {
		fmt.Println(o.Worker, o.Task, o.Run, o.Payload, o.Until)
	}
	fmt.Println(pool.State("j1"), pool.Pending("checks"))
	// Output:
	// w1 {j1 0 0 0} 7340033 text 10000
	// JOB_STATE_QUEUED 1
}
