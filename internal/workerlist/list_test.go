package workerlist

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// A worker whose entry has expired is reported as unlisted, not as draining, until the grace period ends or the entry is
// restored.
func TestExpiredEntryIsUnlistedNotDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		workers := kv.Client("workers")
		write := func(change store.Transaction) {
			_, err := workers.Commit(t.Context(), change)
			assert.NilError(t, err)
			time.Sleep(time.Second)
			synctest.Wait()
		}
		add := store.Transaction{Puts: []store.Put{{Key: "servers/w1", Data: []byte("entry")}}}
		remove := store.Transaction{Deletes: []string{"servers/w1"}}
		parse := func(string, []byte) (scheduler.Worker, string, error) { return scheduler.Worker{ID: "w1"}, "pool", nil }
		var seen []scheduler.Worker
		l := New(kv.Client("host"), "servers/", parse, time.Now, slog.New(slog.DiscardHandler),
			func(pools map[string][]scheduler.Worker) { seen = pools["pool"] })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)

		write(add)
		assert.DeepEqual(t, seen, []scheduler.Worker{{ID: "w1"}})
		write(remove)
		assert.DeepEqual(t, seen, []scheduler.Worker{{ID: "w1", Unlisted: true}})
		write(add)
		assert.DeepEqual(t, seen, []scheduler.Worker{{ID: "w1"}})
		write(remove)
		time.Sleep(removalGrace + watchDelay)
		synctest.Wait()
		assert.Equal(t, len(seen), 0)
	})
}

// The registry is read once while watches return events, and repeatedly while watches are stalled.
func TestFullReadsOnlyWhileWatchIsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		write := func(count int) {
			for range count {
				_, err := kv.Client("workers").Commit(t.Context(), store.Transaction{
					Puts: []store.Put{{Key: "servers/w1", Data: []byte("entry")}},
				})
				assert.NilError(t, err)
				time.Sleep(time.Second)
				synctest.Wait()
			}
		}
		parse := func(string, []byte) (scheduler.Worker, string, error) { return scheduler.Worker{ID: "w1"}, "pool", nil }
		l := New(kv.Client("host"), "servers/", parse, time.Now, slog.New(slog.DiscardHandler),
			func(map[string][]scheduler.Worker) {})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go l.Run(ctx)
		write(20)
		assert.Equal(t, kv.Calls()[memtxn.CallRange], 1)
		kv.SetFaults(memtxn.Faults{StallWatches: true})
		write(20)
		assert.Assert(t, kv.Calls()[memtxn.CallRange] >= 3)
	})
}
