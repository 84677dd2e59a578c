package jobstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store/memtxn"
)

// refusedAfter gives the first commits the given outcomes, one each, and refuses every call after them.
func refusedAfter(outcomes ...memtxn.Outcome) func(string, memtxn.Call) memtxn.Outcome {
	return func(_ string, call memtxn.Call) memtxn.Outcome {
		if len(outcomes) == 0 {
			return memtxn.Refuse
		}
		if call != memtxn.CallCommit {
			return memtxn.Serve
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
}

// Guards against a cancellation that is reported as not stored although a call without an answer has stored it: the repeated call
// meets what the first one has written, and the calls after that are refused.
func TestRefusalAfterAConflictWithTheOwnWriteIsUndecided(t *testing.T) {
	cancel := func(ctx context.Context, s *Store, address string) error {
		_, err := s.Cancel(ctx, jobstate.Ref{Pool: testPool, ID: "1", Address: address}, jobstate.Requester{})
		return err
	}
	for name, c := range map[string]struct {
		plan   []memtxn.Outcome
		cancel func(ctx context.Context, s *Store) error
	}{
		"conflict over the location": {
			plan:   []memtxn.Outcome{memtxn.LoseAnswer, memtxn.Serve},
			cancel: func(ctx context.Context, s *Store) error { return cancel(ctx, s, address) },
		},
		"conflict over a job in the same transaction": {
			plan: []memtxn.Outcome{memtxn.Serve, memtxn.LoseAnswer, memtxn.Serve},
			cancel: func(ctx context.Context, s *Store) (err error) {
				var callers sync.WaitGroup
				callers.Go(func() { assert.Check(t, s.Accept(ctx, job("busy"))) })
				time.Sleep(100 * time.Microsecond)
				callers.Go(func() { assert.Check(t, s.Accept(ctx, job("2"))) })
				callers.Go(func() { err = cancel(ctx, s, "") })
				callers.Wait()
				return err
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				kv.SetFaults(memtxn.Faults{Delay: time.Millisecond, Plan: refusedAfter(c.plan...)})
				err := c.cancel(t.Context(), s)
				assert.Equal(t, len(kv.Items(jobkeys.Cancel(testPool, "1"))), 1)
				assert.Assert(t, err == nil || Undecided.Has(err), "%v", err)
			})
		})
	}
}

// Guards against a cancellation that is reported as not stored although a call without an answer stores it late, because the
// cancellation of another requester is found in its place meanwhile.
func TestCancellationOverAnotherOneIsUndecidedWithoutAnAnswer(t *testing.T) {
	for name, by := range map[string]jobstate.Requester{"workspace of the job": north, "operator": operator} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				_, err := s.CancelOwn(t.Context(), ref("1"), south)
				assert.NilError(t, err)
				assert.NilError(t, s.Accept(t.Context(), jobOf("1", "north")))
				late := []memtxn.Outcome{memtxn.ApplyLate, memtxn.ApplyLate, memtxn.ApplyLate}
				kv.SetFaults(memtxn.Faults{LateBy: time.Second, Plan: planOnce(late...)})
				cancel := s.CancelOwn
				if by.Operator {
					cancel = s.Cancel
				}
				_, err = cancel(t.Context(), ref("1"), by)
				time.Sleep(2 * time.Second)
				snap, _, loadErr := s.Load(t.Context(), testPool)
				assert.NilError(t, loadErr)
				assert.Equal(t, jobstate.Canceller(snap.Cancelled[0]), by)
				assert.Assert(t, Undecided.Has(err), "%v", err)
			})
		})
	}
}
