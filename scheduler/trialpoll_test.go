package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// newSuspectedTestPool returns a pool that has taken over jobs of one suspected task each.
func newSuspectedTestPool(jobIDs []string, workers ...string) *testPool {
	var jobs []*pb.JobRecord
	var progress []*pb.JobProgress
	for _, id := range jobIDs {
		steps := []*pb.JobStep{{Count: 1, CpuMilli: 100, EstimateMs: 10_000}}
		jobs = append(jobs, &pb.JobRecord{Id: id, Queue: "q", AcceptedMs: simEpoch, Spec: &pb.JobSpec{Steps: steps}})
		crashes := map[int64]*pb.CrashHistory{0: {Workers: 2, Suspected: true}}
		progress = append(progress, &pb.JobProgress{
			Id: id, Occurrences: []*pb.OccurrenceProgress{{Steps: []*pb.StepProgress{{Crashes: crashes}}}},
		})
	}
	return newLoadedTestPool(jobs, progress, workers...)
}

// stepAndRecord steps the pool, records what it asks for, and returns its actions.
func (b *testPool) stepAndRecord() scheduler.Actions {
	a := b.pool.Step(b.now)
	for _, r := range a.Records {
		b.pool.Recorded(b.now, r.Progress.GetId(), r.Version)
	}
	return a
}

// Guards against overdue trials that wait for the next regular placement, and that poll one worker after the other.
func TestOverdueTrialsPollTheirWorkersAtOnce(t *testing.T) {
	b := newSuspectedTestPool([]string{"a", "b", "c"}, "w1", "w2", "w3")
	since := b.now
	b.add("serve", &pb.JobStep{Count: 3, CpuMilli: 400, Persistent: true})
	orders := b.stepAndRecord().Orders
	assert.Equal(t, len(orders), 3)
	for _, o := range orders {
		b.pool.Result(b.now, scheduler.OrderResult{Order: o, Outcome: scheduler.OutcomeDone, Clock: b.clock})
	}
	var a scheduler.Actions
	for {
		a = b.stepAndRecord()
		if b.now.Sub(since) >= 1500*time.Millisecond || len(a.Poll) > 0 {
			break
		}
		assert.Equal(t, len(a.Orders), 0)
		assert.Assert(t, a.Wake.After(b.now))
		b.advance(min(a.Wake.Sub(b.now), 130*time.Millisecond))
	}
	assert.Equal(t, b.now.Sub(since), 1500*time.Millisecond)
	assert.DeepEqual(t, a.Poll, []string{"w1", "w2", "w3"})
}
