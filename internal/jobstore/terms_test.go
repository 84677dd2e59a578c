package jobstore

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// heldAnswers hold back the next answer to a read of progress until release is closed.
type heldAnswers struct {
	store.Transactor
	held    atomic.Bool
	release chan struct{}
}

func (h *heldAnswers) Range(ctx context.Context, prefix string, stale bool) ([]store.Item, uint64, error) {
	items, asOf, err := h.Transactor.Range(ctx, prefix, stale)
	if strings.HasPrefix(prefix, jobkeys.ProgressPrefix(testPool)) && h.held.CompareAndSwap(true, false) {
		<-h.release
	}
	return items, asOf, err
}

func running(id string) *pb.JobProgress {
	return &pb.JobProgress{Id: id, State: pb.JobState_JOB_STATE_RUNNING}
}

func completed(id, reason string) *pb.JobProgress {
	return &pb.JobProgress{Id: id, State: pb.JobState_JOB_STATE_COMPLETED, Reason: reason}
}

// loadReasons returns the reason of each recorded job.
func loadReasons(t *testing.T, s *Store) map[string]string {
	t.Helper()
	snap, _, err := s.Load(t.Context(), testPool)
	assert.NilError(t, err)
	reasons := make(map[string]string)
	for _, p := range snap.Progress {
		reasons[p.GetId()] = p.GetReason()
	}
	return reasons
}

// Guards against older progress in a later term of the same process: a read of an earlier term is answered, and a write of it takes effect,
// after another host has owned the pool and this one has acquired it again.
func TestEarlierTermOfTheHostChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "a")
		defer stop()
		held := &heldAnswers{Transactor: s.kv, release: make(chan struct{})}
		s.kv = held
		other, stopOther := start(t, kv, "b")
		defer stopOther()

		first := acquirePool(t, kv)
		assert.NilError(t, s.Record(t.Context(), testPool, first, []*pb.JobProgress{running("1"), running("2")}))
		kv.SetFaults(memtxn.Faults{LateBy: 3 * time.Second, Plan: planOnce(memtxn.ApplyLate, memtxn.Refuse, memtxn.Refuse)})
		assert.Assert(t, s.Record(t.Context(), testPool, first, []*pb.JobProgress{running("1"), running("2"), running("3")}) != nil)
		kv.SetFaults(memtxn.Faults{})
		held.held.Store(true)
		loaded := make(chan error, 1)
		go func() {
			_, _, err := s.Load(t.Context(), testPool)
			loaded <- err
		}()
		time.Sleep(100 * time.Millisecond)

		between := acquirePool(t, kv)
		loadReasons(t, other)
		assert.NilError(t, other.Record(t.Context(), testPool, between, []*pb.JobProgress{completed("1", "between"), completed("2", "between")}))

		second := acquirePool(t, kv)
		assert.DeepEqual(t, loadReasons(t, s), map[string]string{"1": "between", "2": "between"})
		close(held.release)
		assert.NilError(t, <-loaded)
		assert.Assert(t, Fenced.Has(s.Record(t.Context(), testPool, first, []*pb.JobProgress{running("1")})))
		assert.NilError(t, s.Record(t.Context(), testPool, second, []*pb.JobProgress{completed("2", "second")}))
		time.Sleep(5 * time.Second) // the late write of the first term is carried out
		assert.DeepEqual(t, loadReasons(t, other), map[string]string{"1": "between", "2": "second"})
		assert.Assert(t, Fenced.Has(s.Forget(t.Context(), testPool, between, []jobstate.Ref{ref("1")})))
		assert.DeepEqual(t, loadReasons(t, s), map[string]string{"1": "between", "2": "second"})
	})
}

// Guards against the loss of a job whose id is used again after its retention, which then runs again when it is submitted once more: the
// deletion of the first job takes effect again after the second one was recorded.
func TestLateForgetKeepsALaterJobWithTheID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		fence := acquirePool(t, kv)
		assert.NilError(t, s.Accept(t.Context(), job("1")))
		assert.NilError(t, s.Record(t.Context(), testPool, fence, []*pb.JobProgress{completed("1", "first")}))
		kv.SetFaults(memtxn.Faults{LateBy: 3 * time.Second, Plan: planOnce(memtxn.ApplyLate)})
		assert.NilError(t, s.Forget(t.Context(), testPool, fence, []jobstate.Ref{ref("1")}))
		assert.Equal(t, len(kv.Items(jobkeys.Job(testPool, "1"))), 0)
		assert.NilError(t, s.Accept(t.Context(), job("1")))
		assert.NilError(t, s.Record(t.Context(), testPool, fence, []*pb.JobProgress{completed("1", "second")}))
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(kv.Items(jobkeys.Job(testPool, "1"))), 1)
		assert.DeepEqual(t, loadReasons(t, s), map[string]string{"1": "second"})
	})
}

// Guards against records of ended jobs that stay, or calls that never succeed, once an answer to a deletion or to the last record was lost.
func TestForgetAfterLostAnswers(t *testing.T) {
	for name, c := range map[string]struct{ record, forget []memtxn.Outcome }{
		"deletion without an answer":          {nil, []memtxn.Outcome{memtxn.LoseAnswer}},
		"deletions without any answer":        {nil, []memtxn.Outcome{memtxn.LoseAnswer, memtxn.LoseAnswer, memtxn.LoseAnswer}},
		"request lost":                        {nil, []memtxn.Outcome{memtxn.LoseRequest}},
		"record without an answer":            {[]memtxn.Outcome{memtxn.LoseAnswer, memtxn.LoseAnswer, memtxn.LoseAnswer}, nil},
		"record and deletion without answers": {[]memtxn.Outcome{memtxn.LoseAnswer, memtxn.LoseAnswer, memtxn.LoseAnswer}, []memtxn.Outcome{memtxn.LoseAnswer}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				kv.SetFaults(memtxn.Faults{OmitAbsent: true})
				s, stop := start(t, kv, "h")
				defer stop()
				fence := acquirePool(t, kv)
				for _, id := range []string{"1", "2"} {
					assert.NilError(t, s.Accept(t.Context(), job(id)))
				}
				kv.SetFaults(memtxn.Faults{OmitAbsent: true, Plan: planOnce(c.record...)})
				_ = s.Record(t.Context(), testPool, fence, []*pb.JobProgress{completed("1", "")}) // the result may be unknown
				kv.SetFaults(memtxn.Faults{OmitAbsent: true, Plan: planOnce(c.forget...)})
				refs := []jobstate.Ref{ref("1"), ref("2")}
				if s.Forget(t.Context(), testPool, fence, refs) != nil {
					assert.NilError(t, s.Forget(t.Context(), testPool, fence, refs))
				}
				assert.Equal(t, len(kv.Items(jobkeys.IncomingPrefix(testPool))), 0)
				assert.Equal(t, len(kv.Items(jobkeys.ProgressPrefix(testPool))), 0)
			})
		})
	}
}
