package workerlist

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
	"github.com/agateturn/agateturn/wait"
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

// registry is a registry of workers that write their entries regularly.
type registry struct {
	t      *testing.T
	shared *memtxn.Store
	kv     store.Transactor
	pools  map[string][]scheduler.Worker
}

func newRegistry(t *testing.T) *registry {
	shared := memtxn.New()
	return &registry{t: t, shared: shared, kv: shared.Client("workers")}
}

func (r *registry) write(ctx context.Context, names ...string) {
	for chunk := range slices.Chunk(names, store.MaxTransactionEntries) {
		var change store.Transaction
		for _, name := range chunk {
			change.Puts = append(change.Puts, store.Put{Key: "servers/" + name, Data: []byte("entry")})
		}
		_, err := r.kv.Commit(ctx, change)
		assert.NilError(r.t, err)
	}
}

func (r *registry) remove(ctx context.Context, name string) {
	_, err := r.kv.Commit(ctx, store.Transaction{Deletes: []string{"servers/" + name}})
	assert.NilError(r.t, err)
}

// heartbeat writes the entries of all workers once in each interval until ctx ends.
func (r *registry) heartbeat(ctx context.Context, names []string) {
	const interval = 1500 * time.Millisecond
	for ctx.Err() == nil {
		for chunk := range slices.Chunk(names, max(1, len(names)/10)) {
			r.write(context.WithoutCancel(ctx), chunk...)
			_ = wait.For(ctx, interval/10)
		}
	}
}

func (r *registry) follow(ctx context.Context) {
	parse := func(key string, _ []byte) (scheduler.Worker, string, error) {
		return scheduler.Worker{ID: key}, "pool", nil
	}
	l := New(r.shared.Client("host"), "servers/", parse, time.Now, slog.New(slog.DiscardHandler),
		func(pools map[string][]scheduler.Worker) { r.pools = pools })
	l.Run(ctx)
}

// listed reports whether a worker is in the list and registered.
func (r *registry) listed(name string) bool {
	return slices.ContainsFunc(r.pools["pool"], func(w scheduler.Worker) bool { return w.ID == "servers/"+name && !w.Unlisted })
}

func workerNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("w%04d", i)
	}
	return names
}

// Pattern: the store's watches show nothing for a while and its history is then dropped, while stale readings are seconds
// behind. A worker that registers meanwhile is listed within two seconds, one that leaves is not listed after that, and no
// worker is listed twice.
func TestChangesDuringASilentWatchAreListedWithinTwoSeconds(t *testing.T) {
	const bound = 2 * time.Second
	for _, count := range []int{50, 540, 1400} {
		t.Run(fmt.Sprintf("%d workers", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegistry(t)
				names := workerNames(count)
				r.write(t.Context(), names...)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.heartbeat(ctx, names[1:])
				go r.follow(ctx)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				assert.Equal(t, len(r.pools["pool"]), count)

				r.shared.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: 6 * time.Second})
				r.write(t.Context(), "new")
				r.remove(t.Context(), names[0])
				time.Sleep(bound)
				synctest.Wait()
				assert.Assert(t, r.listed("new") && !r.listed(names[0]))

				r.shared.Compact()
				r.shared.SetFaults(memtxn.Faults{StaleBy: 6 * time.Second})
				r.write(t.Context(), "newer")
				time.Sleep(bound)
				synctest.Wait()
				assert.Assert(t, r.listed("newer"))
				time.Sleep(2 * removalGrace)
				synctest.Wait()
				assert.Equal(t, len(r.pools["pool"]), count+1)
			})
		})
	}
}

// Whatever the order of registrations, departures, silent watches, dropped histories and refused calls, the list equals the
// registry two seconds after the last of them.
func TestListConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newRegistry(t)
			names := workerNames(20)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go r.heartbeat(ctx, names[10:])
			go r.follow(ctx)
			want := make(map[string]bool)
			for _, name := range names[10:] {
				want[name] = true
			}
			for range rapid.IntRange(1, 12).Draw(rt, "changes") {
				name := names[rapid.IntRange(0, 9).Draw(rt, "worker")]
				switch rapid.IntRange(0, 4).Draw(rt, "change") {
				case 0:
					r.write(t.Context(), name)
					want[name] = true
				case 1:
					r.remove(t.Context(), name)
					delete(want, name)
				case 2:
					r.shared.SetFaults(memtxn.Faults{StallWatches: true, StaleBy: 6 * time.Second})
				case 3:
					r.shared.Compact()
				case 4:
					r.shared.SetFaults(memtxn.Faults{Cut: map[string]bool{"host": true}})
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause_ms")) * time.Millisecond)
			}
			r.shared.SetFaults(memtxn.Faults{})
			time.Sleep(2*time.Second + removalGrace)
			synctest.Wait()
			got := make(map[string]bool)
			for _, w := range r.pools["pool"] {
				got[strings.TrimPrefix(w.ID, "servers/")] = !w.Unlisted
			}
			assert.DeepEqual(t, got, want)
		})
	})
}
