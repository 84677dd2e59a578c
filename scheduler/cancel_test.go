package scheduler_test

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
)

const (
	unknown   = pb.JobState_JOB_STATE_UNSPECIFIED
	queued    = pb.JobState_JOB_STATE_QUEUED
	cancelled = pb.JobState_JOB_STATE_CANCELLED
)

var (
	north    = jobstate.Requester{Workspace: "north"}
	south    = jobstate.Requester{Workspace: "south"}
	operator = jobstate.Requester{Operator: true}
)

func northRecord(id string) *pb.JobRecord {
	return &pb.JobRecord{Id: id, Queue: "q", Workspace: "north", Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1, CpuMilli: 100}}}}
}

// TestCancellationsOfOthers guards against jobs cancelled by another workspace or by a caller without one, before and after they
// arrive, and against cancellations by their own workspace that are lost beside such ones.
func TestCancellationsOfOthers(t *testing.T) {
	cases := []struct {
		name string
		by   []jobstate.Requester
		want pb.JobState
	}{
		{name: "another workspace", by: []jobstate.Requester{south}, want: queued},
		{name: "no workspace", by: []jobstate.Requester{{}}, want: queued},
		{name: "own workspace", by: []jobstate.Requester{north}, want: cancelled},
		{name: "operator", by: []jobstate.Requester{operator}, want: cancelled},
		{name: "own beside another", by: []jobstate.Requester{south, north, {}}, want: cancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestPool("w1")
			for _, by := range c.by {
				b.pool.CancelBy(b.now, "early", by)
			}
			b.pool.Add(b.now, northRecord("early"))
			b.pool.Add(b.now, northRecord("late"))
			for _, by := range c.by {
				b.pool.CancelBy(b.now, "late", by)
			}
			for _, id := range []string{"early", "late"} {
				assert.Equal(t, b.pool.StateFor(id, north), c.want, id)
				assert.Equal(t, b.pool.StateFor(id, operator), c.want, id)
				assert.Equal(t, b.pool.StateFor(id, south), unknown, id)
				assert.Equal(t, b.pool.StateFor(id, jobstate.Requester{}), unknown, id)
			}
		})
	}
}

// TestTakeoverKeepsTheWorkspace guards against a successor that shows a job to other workspaces, or lets them cancel it: a
// waiting job, and an ended one of which only the progress is left.
func TestTakeoverKeepsTheWorkspace(t *testing.T) {
	b := newTestPool("w1")
	b.pool.Add(b.now, northRecord("ended"))
	b.pool.CancelBy(b.now, "ended", north)
	records := b.pool.Step(b.now).Records
	next := scheduler.New(simConfig)
	next.Load(b.now, []*pb.JobRecord{northRecord("waiting")}, []*pb.JobProgress{records[0].Progress}, nil)
	next.CancelBy(b.now, "waiting", south)
	for id, want := range map[string]pb.JobState{"waiting": queued, "ended": cancelled} {
		assert.Equal(t, next.StateFor(id, north), want)
		assert.Equal(t, next.StateFor(id, south), unknown)
		assert.Equal(t, next.StateFor(id, jobstate.Requester{}), unknown)
	}
}
