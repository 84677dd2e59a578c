package jobstore

import (
	"context"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

const (
	otherPool = "tarif"
	address   = "2f1c"
)

func jobAt(pool, id string) *pb.JobRecord {
	rec := job(id)
	rec.Pool, rec.Address = pool, address
	return rec
}

// pools returns the pools in which the job is stored.
func poolsOf(kv *memtxn.Store, id string) (pools []string) {
	for _, pool := range []string{testPool, otherPool} {
		if len(kv.Items(jobkeys.Job(pool, id))) > 0 {
			pools = append(pools, pool)
		}
	}
	return pools
}

// Guards against a job that is stored twice, and then runs twice, when entry hosts whose configurations name different pools for
// its address accept it at the same time.
func TestJobAtOneAddressIsStoredInOnePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		for _, id := range []string{"1", "2", "3"} {
			first, stopFirst := start(t, kv, "first")
			second, stopSecond := start(t, kv, "second")
			var group errgroup.Group
			errs := make([]error, 4)
			for i := range errs {
				s, pool := first, testPool
				if i%2 == 1 {
					s, pool = second, otherPool
				}
				if i == 3 {
					s = first // a host whose configuration changes while it commits
				}
				group.Go(func() error {
					errs[i] = s.Accept(t.Context(), jobAt(pool, id))
					return nil
				})
			}
			assert.NilError(t, group.Wait())
			pools := poolsOf(kv, id)
			assert.Equal(t, len(pools), 1)
			for i, err := range errs {
				pool := []string{testPool, otherPool}[i%2]
				assert.Assert(t, NotAccepted.Has(err) || (err == nil) == (pool == pools[0]), "%d: %v", i, err)
				assert.Assert(t, err == nil || NotAccepted.Has(err) || StoredElsewhere.Has(err), "%d: %v", i, err)
			}
			located, found, err := first.Locate(t.Context(), address)
			assert.NilError(t, err)
			assert.Assert(t, found)
			assert.DeepEqual(t, located, jobstate.Ref{Pool: pools[0], ID: id})
			stopFirst()
			stopSecond()
			_, err = kv.Client("test").Commit(t.Context(), store.Transaction{Deletes: []string{jobkeys.Location(address)}})
			assert.NilError(t, err)
		}
	})
}

// Guards against a cancellation that is stored under the pool that the route names now, where the owner of the job does not read
// it, and against a job that runs although it was cancelled before its write took effect under another pool.
func TestCancellationFollowsTheLocation(t *testing.T) {
	type canceller func(ctx context.Context, s *Store) (bool, error)
	ref := func(pool string) jobstate.Ref { return jobstate.Ref{Pool: pool, ID: "1", Address: address} }
	for name, cancel := range map[string]canceller{
		"any": func(ctx context.Context, s *Store) (bool, error) {
			return s.Cancel(ctx, ref(otherPool), jobstate.Requester{})
		},
		"own": func(ctx context.Context, s *Store) (bool, error) {
			return s.CancelOwn(ctx, ref(otherPool), jobstate.Requester{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				assert.NilError(t, s.Accept(t.Context(), jobAt(testPool, "1")))
				known, err := cancel(t.Context(), s)
				assert.NilError(t, err)
				assert.Assert(t, known)
				assert.Equal(t, len(kv.Items(jobkeys.Cancel(testPool, "1"))), 1)
				assert.Equal(t, len(kv.Items(jobkeys.Cancel(otherPool, "1"))), 0)
			})
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				s, stop := start(t, kv, "h")
				defer stop()
				known, err := cancel(t.Context(), s)
				assert.NilError(t, err)
				assert.Assert(t, !known)
				assert.Assert(t, StoredElsewhere.Has(s.Accept(t.Context(), jobAt(testPool, "1"))))
				assert.DeepEqual(t, poolsOf(kv, "1"), []string{otherPool})
				state, found, err := s.Lookup(t.Context(), otherPool, "1", jobstate.Requester{})
				assert.NilError(t, err)
				assert.Assert(t, found)
				assert.Equal(t, state, pb.JobState_JOB_STATE_CANCELLED)
			})
		})
	}
}

// Guards against locations that stay for ever once their jobs, or cancellations without a job, are forgotten.
func TestLocationsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		s, stop := start(t, kv, "h")
		defer stop()
		fence := acquirePool(t, kv)
		assert.NilError(t, s.Accept(t.Context(), jobAt(testPool, "1")))
		assert.NilError(t, s.Forget(t.Context(), testPool, fence, []jobstate.Ref{{ID: "1", Address: address}}))
		_, err := s.Cancel(t.Context(), jobstate.Ref{Pool: testPool, ID: "2", Address: "never"}, jobstate.Requester{})
		assert.NilError(t, err)
		assert.Equal(t, len(kv.Items(jobkeys.Location(""))), 1)
		_, err = s.ForgetCancels(t.Context(), testPool, fence, []string{"2"})
		assert.NilError(t, err)
		assert.Equal(t, len(kv.Items("")), 1, "the key of the owner is left")
	})
}
