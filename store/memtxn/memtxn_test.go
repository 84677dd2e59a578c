package memtxn_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

func TestTransactionsAreAtomic(t *testing.T) {
	kv := memtxn.New().Client("c")
	ctx := t.Context()
	first, err := kv.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: "a"}}, Puts: []store.Put{{Key: "a", Data: []byte("1")}},
	})
	assert.NilError(t, err)
	_, err = kv.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: "a"}, {Key: "b"}}, Puts: []store.Put{{Key: "b"}}, Deletes: []string{"a"},
	})
	var conflict *store.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Assert(t, store.Conflict.Has(err))
	assert.Equal(t, conflict.Items[0].Version, first)
	assert.Equal(t, conflict.Items[1].Version, uint64(0))
	item, err := kv.Get(ctx, "b")
	assert.NilError(t, err)
	assert.Equal(t, item.Version, uint64(0))
}

func TestWatchReturnsChangesOnceUntilCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memtxn.New()
		kv := s.Client("c")
		_, asOf, err := kv.Range(t.Context(), "p/", false)
		assert.NilError(t, err)
		put := store.Transaction{Puts: []store.Put{{Key: "p/a"}, {Key: "q/a"}}}
		time.AfterFunc(time.Second, func() { _, _ = kv.Commit(t.Context(), put) })
		start := time.Now()
		events, next, err := kv.Watch(t.Context(), "p/", asOf, 10*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), time.Second)
		assert.Equal(t, len(events), 1)
		events, _, err = kv.Watch(t.Context(), "p/", next, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 0)
		s.Compact()
		_, _, err = kv.Watch(t.Context(), "p/", next, time.Second)
		assert.Assert(t, store.Compacted.Has(err))
	})
}

func TestLeaseExpiryDeletesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memtxn.New()
		kv := s.Client("c")
		lease, ttl, err := kv.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		_, err = kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: "a", Lease: lease}}})
		assert.NilError(t, err)
		time.Sleep(ttl - time.Millisecond)
		assert.NilError(t, kv.KeepAlive(t.Context(), lease))
		time.Sleep(ttl - time.Millisecond)
		assert.Equal(t, len(s.Items("")), 1)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, len(s.Items("")), 0)
		assert.Assert(t, store.LeaseLost.Has(kv.KeepAlive(t.Context(), lease)))
		_, err = kv.Commit(t.Context(), store.Transaction{Puts: []store.Put{{Key: "a", Lease: lease}}})
		assert.Assert(t, store.LeaseLost.Has(err))
	})
}

func TestRateLimitsAreSharedByAllClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memtxn.New()
		s.SetFaults(memtxn.Faults{ReadsPerSecond: 2})
		for i, name := range []string{"c", "d", "e"} {
			_, err := s.Client(name).Get(t.Context(), "a")
			assert.Equal(t, err != nil, i == 2)
		}
		_, _, err := s.Client("e").Range(t.Context(), "a", true)
		assert.NilError(t, err, "a stale read is not counted")
		time.Sleep(time.Second)
		_, err = s.Client("e").Get(t.Context(), "a")
		assert.NilError(t, err)
	})
}
