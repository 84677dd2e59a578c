package jobstore

import (
	"sync"
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

var (
	north    = jobstate.Requester{Workspace: "north"}
	south    = jobstate.Requester{Workspace: "south"}
	operator = jobstate.Requester{Operator: true}
)

func jobOf(id, workspace string) *pb.JobRecord {
	j := job(id)
	j.Workspace = workspace
	return j
}

// TestIDOfAnotherWorkspace guards against a submission that is acknowledged although the id belongs to another workspace's job:
// stored before, in the same transaction, or by a write whose answer was lost.
func TestIDOfAnotherWorkspace(t *testing.T) {
	for name, faults := range map[string]memtxn.Faults{
		"healthy":      {},
		"answers lost": {Plan: func(_ string, c memtxn.Call) memtxn.Outcome { return lostIfCommit(c) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				kv.SetFaults(faults)
				assert.NilError(t, s.Accept(t.Context(), jobOf("1", "north")))
				assert.Assert(t, OtherWorkspace.Has(s.Accept(t.Context(), jobOf("1", "south"))))
				assert.Assert(t, OtherWorkspace.Has(s.Accept(t.Context(), jobOf("1", ""))))
				assert.NilError(t, s.Accept(t.Context(), jobOf("1", "north")))
				kv.SetFaults(memtxn.Faults{Delay: 5 * time.Millisecond, Plan: faults.Plan})
				var errs [2]error
				var callers sync.WaitGroup
				callers.Go(func() { _ = s.Accept(t.Context(), job("busy")) })
				time.Sleep(time.Millisecond)
				for i, workspace := range []string{"north", "south"} {
					callers.Go(func() { errs[i] = s.Accept(t.Context(), jobOf("2", workspace)) })
				}
				callers.Wait()
				assert.Assert(t, (errs[0] == nil) != (errs[1] == nil), "%v", errs)
				assert.Assert(t, OtherWorkspace.Has(errs[0]) || OtherWorkspace.Has(errs[1]), "%v", errs)
			})
		})
	}
}

func lostIfCommit(c memtxn.Call) memtxn.Outcome {
	if c == memtxn.CallCommit {
		return memtxn.LoseAnswer
	}
	return memtxn.Serve
}

// TestCancellationByAnotherWorkspace guards against a cancellation that changes a job of another workspace, or replaces the
// cancellation by its own workspace, before or after the job arrives.
func TestCancellationByAnotherWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		ctx := t.Context()
		cancelOwn := func(id string, by jobstate.Requester, want bool) {
			t.Helper()
			known, err := s.CancelOwn(ctx, ref(id), by)
			assert.NilError(t, err)
			assert.Equal(t, known, want)
		}
		state := func(id string, by jobstate.Requester) pb.JobState {
			t.Helper()
			state, found, err := s.Lookup(ctx, testPool, id, by)
			assert.NilError(t, err)
			assert.Equal(t, found, state != pb.JobState_JOB_STATE_UNSPECIFIED)
			return state
		}
		assert.NilError(t, s.Accept(ctx, jobOf("1", "north")))
		for _, other := range []jobstate.Requester{south, {}} {
			cancelOwn("1", other, false)
			assert.Equal(t, len(kv.Items(jobkeys.Cancel(testPool, "1"))), 0)
			assert.Equal(t, state("1", other), pb.JobState_JOB_STATE_UNSPECIFIED)
		}
		assert.Equal(t, state("1", north), pb.JobState_JOB_STATE_QUEUED)
		assert.Equal(t, state("1", operator), pb.JobState_JOB_STATE_QUEUED)
		cancelOwn("1", north, true)
		cancelOwn("1", south, false)
		assert.Equal(t, state("1", north), pb.JobState_JOB_STATE_CANCELLED)

		// Cancelled by both before the job arrives: the first cancellation stays, the second is rejected and not dropped silently.
		cancelOwn("2", south, false)
		_, err := s.CancelOwn(ctx, ref("2"), north)
		assert.Assert(t, store.Unavailable.Has(err), "%v", err)
		assert.NilError(t, s.Accept(ctx, jobOf("2", "north")))
		assert.Equal(t, state("2", north), pb.JobState_JOB_STATE_QUEUED)
		cancelOwn("2", north, true)
		assert.Equal(t, state("2", north), pb.JobState_JOB_STATE_CANCELLED)

		known, err := s.Cancel(ctx, ref("3"), operator)
		assert.Assert(t, !known && err == nil)
		cancelOwn("3", south, false)
		assert.NilError(t, s.Accept(ctx, jobOf("3", "north")))
		assert.Equal(t, state("3", north), pb.JobState_JOB_STATE_CANCELLED, "cancelled by an operator")

		snap, _, err := s.Load(ctx, testPool)
		assert.NilError(t, err)
		by := map[string]jobstate.Requester{}
		for _, c := range snap.Cancelled {
			by[c.GetId()] = jobstate.Canceller(c)
		}
		assert.DeepEqual(t, by, map[string]jobstate.Requester{"1": north, "2": north, "3": operator})
	})
}

// TestCallsWithoutWorkspaces guards against additional calls to the store for jobs without a workspace.
func TestCallsWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		count := func(call func()) [2]int {
			before := kv.Calls()
			call()
			after := kv.Calls()
			return [2]int{after[memtxn.CallCommit] - before[memtxn.CallCommit], after[memtxn.CallGet] - before[memtxn.CallGet]}
		}
		accept := func() { assert.NilError(t, s.Accept(t.Context(), job("1"))) }
		cancel := func(cancel func() (bool, error)) func() {
			return func() {
				_, err := cancel()
				assert.NilError(t, err)
			}
		}
		assert.Equal(t, count(accept), [2]int{1, 0})
		assert.Equal(t, count(accept), [2]int{1, 0}, "repeated")
		assert.Equal(t, count(cancel(func() (bool, error) { return s.Cancel(t.Context(), ref("1"), jobstate.Requester{}) })), [2]int{1, 1})
		assert.Equal(t, count(cancel(func() (bool, error) { return s.CancelOwn(t.Context(), ref("1"), jobstate.Requester{}) })), [2]int{1, 1})
	})
}
