package scheduler_test

import (
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
	"gotest.tools/v3/assert"
)

// TestAcceptanceTimeIsCappedAtOwnerClock adds jobs accepted by hosts whose clocks differ from the owner's.
func TestAcceptanceTimeIsCappedAtOwnerClock(t *testing.T) {
	b := newTestPool("w1")
	for id, ahead := range map[string]time.Duration{"ahead": time.Hour, "behind": -time.Second} {
		b.pool.Add(b.now, &pb.JobRecord{Id: id, Queue: "q", AcceptedMs: b.now.Add(ahead).UnixMilli(), Spec: &pb.JobSpec{
			Steps: []*pb.JobStep{{Count: 1, CpuMilli: 1000, EstimateMs: 1000}},
		}})
	}
	for _, j := range b.pool.Describe(&pb.DescribeJobsRequest{Limit: 2}) {
		want := b.now
		if j.GetId() == "behind" {
			want = b.now.Add(-time.Second)
		}
		assert.Equal(t, j.GetAcceptedMs(), want.UnixMilli(), j.GetId())
	}
}

// TestEndedJobsAreKeptWhenOwnerClockIsAhead loads a job that seems to have ended long ago.
func TestEndedJobsAreKeptWhenOwnerClockIsAhead(t *testing.T) {
	now := time.UnixMilli(simEpoch)
	cfg := simConfig
	p := scheduler.New(cfg)
	record := &pb.JobRecord{Id: "j", Queue: "q", AcceptedMs: simEpoch, Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1}}}}
	ended := now.Add(-time.Hour).UnixMilli()
	p.Load(now, []*pb.JobRecord{record}, []*pb.JobProgress{{Id: "j", State: pb.JobState_JOB_STATE_COMPLETED, EndedMs: ended}}, nil)
	for _, passed := range []time.Duration{0, cfg.Retention - time.Second} {
		p.Step(now.Add(passed))
		assert.Equal(t, p.State("j"), pb.JobState_JOB_STATE_COMPLETED, "after %s", passed)
	}
	p.Step(now.Add(cfg.Retention))
	assert.Equal(t, p.State("j"), pb.JobState_JOB_STATE_UNSPECIFIED)
}
