package poolowner

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/queue"
	"github.com/agateturn/agateturn/scheduler"
)

// emptyStore is a Jobs without records that accepts every write.
type emptyStore struct{}

func (emptyStore) Load(context.Context, string) (jobstore.Snapshot, uint64, error) {
	return jobstore.Snapshot{}, 1, nil
}

func (emptyStore) Follow(ctx context.Context, _ string, _ uint64, _ func(jobstore.Change)) error {
	<-ctx.Done()
	return ctx.Err()
}

func (emptyStore) Record(context.Context, string, uint64, []*pb.JobProgress) error { return nil }

func (emptyStore) Forget(context.Context, string, uint64, []jobstate.Ref) error { return nil }

func (emptyStore) MayExist(context.Context, string, string) bool { return false }

func (emptyStore) Roster(context.Context, string) (*pb.Roster, uint64, error) { return nil, 0, nil }

func (emptyStore) SetRoster(context.Context, string, uint64, *pb.Roster, uint64) (uint64, error) {
	return 1, nil
}

func (emptyStore) ForgetCancels(context.Context, string, uint64, []string) ([]*pb.JobCancel, error) {
	return nil, nil
}

// A job offered by a host whose clock is behind is not treated as late.
func TestOfferedJobUsesTheOwnersClock(t *testing.T) {
	owner := New(Options{
		Pool: "p", Jobs: emptyStore{}, Clock: time.Now, Log: slog.New(slog.DiscardHandler),
		Confirmed: func() bool { return true }, ConfirmedFrom: time.Now, Confirm: func(context.Context) bool { return true }, Replaced: func() {},
		Intents: func(context.Context) (Intents, error) { return Intents{}, nil },
		Config:  scheduler.Config{Fence: 1, Lease: time.Second, MaxLease: time.Second, Retention: time.Minute},
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = owner.Run(ctx) })
	defer group.Wait()
	defer cancel()
	owner.SetQueues(ctx, &queue.Table{Queues: []queue.Queue{{Name: "q", Pool: "p"}}, Pools: []queue.Pool{{Name: "p"}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if owner.isLoaded() {
			return poll.Success()
		}
		return poll.Continue("not loaded")
	})
	startedAt := time.Now()
	owner.Offer([]*pb.JobRecord{{
		Id: "j", Queue: "q", Pool: "p", AcceptedMs: startedAt.Add(-time.Hour).UnixMilli(),
		Spec: &pb.JobSpec{Steps: []*pb.JobStep{{Count: 1}}},
	}}, nil)
	jobs, ok := owner.Describe(ctx, &pb.DescribeJobsRequest{Limit: 1})
	assert.Assert(t, ok && len(jobs) == 1)
	assert.Assert(t, jobs[0].GetAcceptedMs() >= startedAt.UnixMilli())
}

// Guards against parts of a record that offered jobs lose, unlike those read from the store.
func TestOfferedJobKeepsItsRecord(t *testing.T) {
	offered := &pb.JobRecord{
		Id: "j", Queue: "q", Pool: "p", Spec: &pb.JobSpec{Payload: "x"}, AcceptedMs: 1, Workspace: "w", Address: "a",
		Terms: &pb.JobTerms{MaxAttempts: 5},
	}
	fields := offered.ProtoReflect().Descriptor().Fields()
	now := time.Now()
	kept := withAcceptedTime(now, offered)
	for i := range fields.Len() {
		assert.Assert(t, offered.ProtoReflect().Has(fields.Get(i)), "the test sets every field, also %s", fields.Get(i).Name())
	}
	offered.AcceptedMs = now.UnixMilli()
	assert.Assert(t, proto.Equal(kept, offered), "%v, offered %v", kept, offered)
}
