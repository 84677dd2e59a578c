package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// TestDescribe checks that jobs are listed sorted and up to the limit, with more detail for those requested by id.
func TestDescribe(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	pool := scheduler.New(scheduler.Config{Fence: 7, Lease: 8 * time.Second, MaxLease: 10 * time.Second, Retention: time.Minute})
	pool.Load(now, nil, nil, nil)
	pool.SetQueues(now, []queue.Queue{{Name: "a", Pool: "p", MaxAttempts: 3, Stretch: 2}, {Name: "b", Pool: "p", MaxAttempts: 3, Stretch: 2}})
	pool.SetWorkers(now, []scheduler.Worker{{ID: "w1", Address: "10.0.0.1:80", Capacity: scheduler.Resources{CPUMilli: 4000, MemoryMB: 1024}}})
	pool.Report(now, scheduler.Report{Worker: "w1", Fence: pool.FenceFor("w1"), Born: 5, Sent: now, Received: now, Clock: 2000})
	for i, name := range []string{"b", "a", "a"} {
		pool.Add(now, &pb.JobRecord{Id: fmt.Sprintf("j%d", 3-i), Queue: name, AcceptedMs: now.UnixMilli(), Spec: &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 2, CpuMilli: 500, MemoryMb: 64, EstimateMs: 800}},
		}})
	}
	pool.Step(now)
	all := pool.Describe(&pb.DescribeJobsRequest{Limit: 2})
	assert.Equal(t, len(all), 2)
	assert.Assert(t, all[0].GetId() == "j1" && all[1].GetId() == "j2")
	assert.Assert(t, len(all[0].GetPlacements()) == 0 && all[0].GetRunning() == 2)
	assert.Equal(t, len(pool.Describe(&pb.DescribeJobsRequest{Queue: "b"})), 1)
	one := pool.Describe(&pb.DescribeJobsRequest{Ids: []string{"j3", "none"}})
	assert.Equal(t, len(one), 1)
	assert.Equal(t, one[0].GetPlacements()[0].GetWorker(), "w1")
	assert.Assert(t, len(one[0].GetExplanation()) > 0)
}

// An ended job still shows how many tasks it had and how many succeeded, also after a takeover.
func TestDescribeAnEndedJob(t *testing.T) {
	b := newTestPool("w1")
	b.add("a", &pb.JobStep{Count: 2, CpuMilli: 100, EstimateMs: 500}, &pb.JobStep{Count: 3, CpuMilli: 100, EstimateMs: 500, After: []int64{0}})
	var last []scheduler.Record
	for range 6 {
		a := b.pool.Step(b.now)
		for _, record := range a.Records {
			last = a.Records
			b.pool.Recorded(b.now, record.Progress.GetId(), record.Version)
		}
		for _, o := range a.Orders {
			b.pool.Result(b.now, scheduler.OrderResult{Order: o})
			end := scheduler.EndSucceeded
			if o.Task.Step == 1 && o.Task.Index == 2 {
				end = scheduler.EndFailed
			}
			b.lastEnd++
			b.report("w1", nil, []scheduler.EndedRun{{Number: b.lastEnd, Task: o.Task, Run: o.Run, End: end}})
		}
		b.advance(time.Second)
	}
	check := func(p *scheduler.Pool) {
		d := p.Describe(&pb.DescribeJobsRequest{})[0]
		assert.Equal(t, d.GetState(), pb.JobState_JOB_STATE_FAILED)
		assert.Equal(t, [3]int64{d.GetTasks(), d.GetSucceeded(), d.GetFailures()}, [3]int64{5, 4, 3})
		explained := p.Describe(&pb.DescribeJobsRequest{Ids: []string{"a"}})[0].GetExplanation()
		assert.Equal(t, explained[0], "state failed, queue q")
	}
	check(b.pool)
	next := scheduler.New(simConfig)
	next.Load(b.now, nil, []*pb.JobProgress{last[0].Progress}, nil)
	check(next)
}

// A cancellation whose job never arrives is returned for deletion once, after the retention.
func TestCancellationWithoutJobIsPurged(t *testing.T) {
	b := newTestPool("w1")
	b.pool.Cancel(b.now, "a")
	forgotten := func(d time.Duration) []string {
		b.advance(d)
		return b.pool.Step(b.now).ForgetCancels
	}
	assert.Equal(t, len(forgotten(simConfig.Retention)), 0)
	assert.DeepEqual(t, forgotten(11*time.Second), []string{"a"})
	assert.Equal(t, len(forgotten(11*time.Second)), 0)
}
