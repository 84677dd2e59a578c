package jobstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store/memtxn"
)

// planOnce gives the first commits the given outcomes, one each, and serves the rest.
func planOnce(outcomes ...memtxn.Outcome) func(string, memtxn.Call) memtxn.Outcome {
	return func(_ string, call memtxn.Call) memtxn.Outcome {
		if call != memtxn.CallCommit || len(outcomes) == 0 {
			return memtxn.Serve
		}
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	}
}

func TestAcceptWithLostAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		plan  []memtxn.Outcome
		limit time.Duration
	}{
		"answer lost":   {[]memtxn.Outcome{memtxn.LoseAnswer}, 50 * time.Millisecond},
		"request lost":  {[]memtxn.Outcome{memtxn.LoseRequest}, 50 * time.Millisecond},
		"refused twice": {[]memtxn.Outcome{memtxn.Refuse, memtxn.Refuse}, 200 * time.Millisecond},
		"no answer":     {[]memtxn.Outcome{memtxn.Hang}, 400 * time.Millisecond},
		"lands late":    {[]memtxn.Outcome{memtxn.ApplyLate, memtxn.Refuse, memtxn.Serve}, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				assert.NilError(t, s.Accept(t.Context(), job("before")))
				kv.SetFaults(memtxn.Faults{Delay: 4 * time.Millisecond, LateBy: time.Second, Plan: planOnce(c.plan...)})
				began := time.Now()
				assert.NilError(t, s.Accept(t.Context(), job("1")))
				assert.Assert(t, time.Since(began) <= c.limit, "took %s", time.Since(began))
				time.Sleep(2 * time.Second)
				assert.Equal(t, len(kv.Items(jobkeys.Job(testPool, "1"))), 1)
			})
		})
	}
}

func TestUnavailableStoreRejectsJobsQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		assert.NilError(t, s.Accept(t.Context(), job("before")))
		kv.SetFaults(memtxn.Faults{Down: true})
		began := time.Now()
		assert.Assert(t, NotAccepted.Has(s.Accept(t.Context(), job("1"))))
		assert.Assert(t, time.Since(began) <= 150*time.Millisecond)
	})
}

func TestUndecidedJobIsNeverReportedAsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		late := []memtxn.Outcome{memtxn.ApplyLate, memtxn.ApplyLate, memtxn.ApplyLate}
		kv.SetFaults(memtxn.Faults{LateBy: 5 * time.Second, Plan: planOnce(late...)})
		assert.Assert(t, Undecided.Has(s.Accept(t.Context(), job("1"))))
		kv.SetFaults(memtxn.Faults{Down: true})
		assert.Assert(t, Undecided.Has(s.Accept(t.Context(), job("1"))))
		assert.Assert(t, NotAccepted.Has(s.Accept(t.Context(), job("2"))))
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(kv.Items(jobkeys.Job(testPool, "1"))), 1)
	})
}

func TestCallerTimeoutAfterSendIsUndecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		kv.SetFaults(memtxn.Faults{Delay: 500 * time.Millisecond})
		s, stop := start(t, kv, "h")
		defer stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.Assert(t, Undecided.Has(s.Accept(ctx, job("1"))))
	})
}

// A progress write that takes effect seconds late must not overwrite progress recorded since.
func TestLateProgressDoesNotOverwriteNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		fence := acquirePool(t, kv)
		running := &pb.JobProgress{Id: "1", State: pb.JobState_JOB_STATE_RUNNING}
		done := &pb.JobProgress{Id: "1", State: pb.JobState_JOB_STATE_COMPLETED}
		for _, plan := range [][]memtxn.Outcome{
			{memtxn.ApplyLate},
			{memtxn.LoseAnswer, memtxn.ApplyLate},
			{memtxn.ApplyLate, memtxn.ApplyLate, memtxn.ApplyLate},
		} {
			kv.SetFaults(memtxn.Faults{LateBy: time.Second, Plan: planOnce(plan...)})
			_ = s.Record(t.Context(), testPool, fence, []*pb.JobProgress{running}) // the result may be unknown
			assert.NilError(t, s.Record(t.Context(), testPool, fence, []*pb.JobProgress{done}))
			time.Sleep(2 * time.Second)
			snap, _, err := s.Load(t.Context(), testPool)
			assert.NilError(t, err)
			assert.Equal(t, snap.Progress[0].GetState(), pb.JobState_JOB_STATE_COMPLETED)
		}
	})
}

func TestReplacedOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		kv.SetFaults(memtxn.Faults{OmitAbsent: true})
		s, stop := start(t, kv, "h")
		defer stop()
		old := acquirePool(t, kv)
		acquirePool(t, kv)
		err := s.Record(t.Context(), testPool, old, []*pb.JobProgress{{Id: "1"}})
		assert.Assert(t, Fenced.Has(err), "%v", err)
		assert.Assert(t, Fenced.Has(s.Forget(t.Context(), testPool, old, []jobstate.Ref{ref("1")})))
		kv.Remove(jobkeys.Owner(testPool))
		err = s.Record(t.Context(), testPool, old, []*pb.JobProgress{{Id: "1"}})
		assert.Assert(t, Fenced.Has(err), "%v", err)
		assert.Equal(t, len(kv.Items(jobkeys.ProgressPrefix(testPool))), 0)
	})
}

func TestFollowMissesNothingUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		assert.NilError(t, s.Accept(t.Context(), job("loaded")))
		snap, asOf, err := s.Load(t.Context(), testPool)
		assert.NilError(t, err)
		assert.Equal(t, len(snap.Jobs), 1)
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(map[string]bool)
		var following sync.WaitGroup
		following.Go(func() {
			err := s.Follow(ctx, testPool, asOf, func(c Change) {
				if c.Job != nil {
					seen[c.Job.GetId()] = true
				} else {
					seen["cancel "+c.Cancel.GetId()] = true
				}
			})
			assert.Check(t, err != nil)
		})
		random := rand.New(rand.NewPCG(1, 1))
		const jobs = 60
		for i := range jobs {
			kv.SetFaults(memtxn.Faults{
				Delay: 4 * time.Millisecond, StallWatches: random.IntN(3) == 0, StaleBy: time.Second,
			})
			if random.IntN(4) == 0 {
				kv.Compact()
			}
			assert.NilError(t, s.Accept(t.Context(), job(fmt.Sprint(i))))
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		known, err := s.Cancel(t.Context(), ref("0"), jobstate.Requester{})
		assert.NilError(t, err)
		assert.Assert(t, known)
		kv.SetFaults(memtxn.Faults{})
		time.Sleep(8 * time.Second)
		cancel()
		following.Wait()
		assert.Equal(t, len(seen), jobs+1, "%v", seen)
		assert.Assert(t, seen["cancel 0"])
	})
}

func TestFollowRecoversFromStalledWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		kv.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: time.Second})
		_, asOf, err := s.Load(t.Context(), testPool)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		seen := 0
		time.AfterFunc(time.Second, func() { assert.Check(t, s.Accept(t.Context(), job("1"))) })
		_ = s.Follow(ctx, testPool, asOf, func(Change) { seen++ }) // returns when ctx ends
		assert.Assert(t, seen > 0)
	})
}
