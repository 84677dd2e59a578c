package workerlist

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/store/memtxn"
)

// parseBorn parses an entry that holds the start of its worker.
func parseBorn(key string, data []byte) (scheduler.Worker, string, error) {
	born, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return scheduler.Worker{}, "", errors.New("no start")
	}
	return scheduler.Worker{ID: key, Born: born}, "pool", nil
}

// startList follows a registry until the test ends; the function returns the workers as last reported.
func startList(t *testing.T, kv *memtxn.Store) (*List, func() []scheduler.Worker) {
	var seen []scheduler.Worker
	l := New(kv.Client("host"), "servers/", parseBorn, time.Now, slog.New(slog.DiscardHandler),
		func(pools map[string][]scheduler.Worker) { seen = pools["pool"] })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l, func() []scheduler.Worker {
		time.Sleep(10 * time.Second)
		synctest.Wait()
		return seen
	}
}

// Guards against memory that grows with each odd key that another writer leaves and removes, also where the watch is stalled.
func TestInvalidKeysAreForgotten(t *testing.T) {
	for name, faults := range map[string]memtxn.Faults{"watched": {}, "stalled": {StallWatches: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kv := memtxn.New()
				l, workers := startList(t, kv)
				kv.SetFaults(faults)
				for round := range 10 {
					var put, remove store.Transaction
					for i := range 10 {
						key := fmt.Sprintf("servers/odd-%d-%d", round, i)
						put.Puts = append(put.Puts, store.Put{Key: key, Data: []byte("[[[[")})
						remove.Deletes = append(remove.Deletes, key)
					}
					_, err := kv.Client("writer").Commit(t.Context(), put)
					assert.NilError(t, err)
					workers()
					assert.Equal(t, len(l.invalid), 10)
					_, err = kv.Client("writer").Commit(t.Context(), remove)
					assert.NilError(t, err)
					workers()
					assert.Equal(t, len(l.invalid), 0)
				}
			})
		})
	}
}

// Guards against an entry with a start that is too large, after which the owner of the pool would ignore the worker's own entries
// and answers for good, as those of an earlier incarnation.
func TestStartsInTheFutureNameNoWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memtxn.New()
		_, workers := startList(t, kv)
		write := func(born int64) []scheduler.Worker {
			_, err := kv.Client("writer").Commit(t.Context(), store.Transaction{
				Puts: []store.Put{{Key: "servers/w1", Data: strconv.AppendInt(nil, born, 10)}},
			})
			assert.NilError(t, err)
			return workers()
		}
		now := time.Now().UnixMilli()
		assert.Equal(t, len(write(now)), 1)
		assert.Equal(t, len(write(1<<53)), 0)
		assert.Equal(t, len(write(now+int64(maxClockLead/time.Millisecond)*2)), 0)
		assert.Equal(t, write(now)[0].Born, now)
	})
}
