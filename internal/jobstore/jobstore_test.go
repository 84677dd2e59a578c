package jobstore

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const testPool = "kettle"

// start returns a running Store for the named client. The caller must call stop before its synctest bubble ends.
func start(t *testing.T, kv *memtxn.Store, client string) (s *Store, stop func()) {
	t.Helper()
	s = New(kv.Client(client), time.Now, slog.New(slog.DiscardHandler), Options{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, s.Run(ctx))
	}()
	return s, func() {
		cancel()
		<-done
	}
}

func job(id string) *pb.JobRecord {
	return &pb.JobRecord{Id: id, Queue: "q", Pool: testPool, Spec: &pb.JobSpec{Payload: "p"}}
}

func ref(id string) jobstate.Ref { return jobstate.Ref{Pool: testPool, ID: id} }

func cancelledIDs(all []*pb.JobCancel) []string {
	return lo.Map(all, func(c *pb.JobCancel, _ int) string { return c.GetId() })
}

func acquirePool(t *testing.T, kv *memtxn.Store) uint64 {
	t.Helper()
	fence, err := kv.Client("owner").Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: jobkeys.Owner(testPool)}}})
	assert.NilError(t, err)
	return fence
}

func TestJobLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		ctx := t.Context()
		assert.NilError(t, s.Accept(ctx, job("1")))
		assert.NilError(t, s.Accept(ctx, job("1")), "repeated with the same id")
		_, found, err := s.Lookup(ctx, testPool, "2", jobstate.Requester{})
		assert.NilError(t, err)
		assert.Assert(t, !found)
		state, found, err := s.Lookup(ctx, testPool, "1", jobstate.Requester{})
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.Equal(t, state, pb.JobState_JOB_STATE_QUEUED)

		known, err := s.Cancel(ctx, ref("1"), jobstate.Requester{})
		assert.NilError(t, err)
		assert.Assert(t, known)
		state, _, err = s.Lookup(ctx, testPool, "1", jobstate.Requester{})
		assert.NilError(t, err)
		assert.Equal(t, state, pb.JobState_JOB_STATE_CANCELLED)
		known, err = s.Cancel(ctx, ref("2"), jobstate.Requester{})
		assert.NilError(t, err)
		assert.Assert(t, !known)

		fence := acquirePool(t, kv)
		done := &pb.JobProgress{Id: "1", State: pb.JobState_JOB_STATE_COMPLETED}
		assert.NilError(t, s.Record(ctx, testPool, fence, []*pb.JobProgress{done}))
		assert.Assert(t, Fenced.Has(s.Record(ctx, testPool, fence-1, []*pb.JobProgress{done})))
		state, _, err = s.Lookup(ctx, testPool, "1", jobstate.Requester{})
		assert.NilError(t, err)
		assert.Equal(t, state, pb.JobState_JOB_STATE_COMPLETED, "an ended state is final")

		snap, _, err := s.Load(ctx, testPool)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Jobs), 1)
		assert.Equal(t, len(snap.Progress), 1)
		assert.DeepEqual(t, cancelledIDs(snap.Cancelled), []string{"1", "2"})
		assert.NilError(t, s.Forget(ctx, testPool, fence, []jobstate.Ref{ref("1"), ref("2")}))
		assert.Equal(t, len(kv.Items("agateturn/in/")), 0)
		assert.Equal(t, len(kv.Items("agateturn/progress/")), 0)
	})
}

func TestConcurrentWritesShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		kv.SetFaults(memtxn.Faults{Delay: 4 * time.Millisecond})
		s, stop := start(t, kv, "h")
		defer stop()
		const jobs = 160
		var callers sync.WaitGroup
		began := time.Now()
		for i := range jobs {
			callers.Go(func() { assert.Check(t, s.Accept(t.Context(), job(fmt.Sprint(i)))) })
		}
		callers.Wait()
		assert.Equal(t, len(kv.Items(jobkeys.IncomingPrefix(testPool))), jobs)
		commits := kv.Calls()[memtxn.CallCommit]
		assert.Assert(t, commits <= jobs/16+2, "%d commits", commits)
		assert.Assert(t, time.Since(began) <= 20*time.Millisecond, "took %s", time.Since(began))
	})
}

// TestForgetCancels checks that only the cancellations of jobs that were never stored are deleted.
func TestForgetCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		ctx := t.Context()
		ids := []string{"1", "2", "3"}
		for _, id := range ids {
			_, err := s.Cancel(ctx, ref(id), jobstate.Requester{})
			assert.NilError(t, err)
		}
		assert.NilError(t, s.Accept(ctx, job("2")))
		fence := acquirePool(t, kv)
		_, err := s.ForgetCancels(ctx, testPool, fence-1, ids)
		assert.Assert(t, Fenced.Has(err), "%v", err)
		kept, err := s.ForgetCancels(ctx, testPool, fence, ids)
		assert.NilError(t, err)
		assert.DeepEqual(t, cancelledIDs(kept), []string{"2"})
		snap, _, err := s.Load(ctx, testPool)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Jobs), 1)
		assert.DeepEqual(t, cancelledIDs(snap.Cancelled), []string{"2"})
	})
}
