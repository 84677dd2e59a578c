package jobplatform

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

const (
	workersPrefix = "servers/"
	// Heartbeat is the interval between two reports of a worker to the registry.
	Heartbeat = time.Second
	// crashedEntryTTL is how long the entry of a crashed worker stays after its last report.
	crashedEntryTTL = 3 * Heartbeat
	// maxLapse is the longest time until a lapsed entry is back.
	maxLapse = 2 * time.Second

	registryTick = 100 * time.Millisecond
	machineKind  = "standard"
	workerSlots  = 64
)

// registration is the entry of one worker.
type registration struct {
	machine  *machine
	seq      int64
	reported time.Time
}

// registry writes the workers' entries to the store.
type registry struct {
	kv      store.Transactor
	entries map[string]*registration
	// lapse requests one call of lapseAll.
	lapse *atomic.Bool
}

// lapseAll returns the keys of all entries, and makes each due again at a random time within maxLapse.
func (r *registry) lapseAll(now time.Time) []string {
	for _, e := range r.entries {
		e.reported = now.Add(rand.N(maxLapse) - Heartbeat) //nolint:gosec // not a secret
	}
	return lo.Keys(r.entries)
}

// report writes the due changes in as few transactions as the store permits.
func (r *registry) report(ctx context.Context, machines []*machine, now time.Time) error {
	var t store.Transaction
	live := make(map[string]bool)
	for _, m := range machines {
		key, value, due := r.entry(m, now)
		live[key] = true
		if due {
			t.Puts = append(t.Puts, store.Put{Key: key, Data: value})
		}
	}
	if r.lapse.CompareAndSwap(true, false) {
		t.Deletes = append(t.Deletes, r.lapseAll(now)...)
	}
	for key, e := range r.entries {
		if !live[key] && (e.machine.stoppedByOrder() || now.Sub(e.reported) > crashedEntryTTL) {
			t.Deletes = append(t.Deletes, key)
			delete(r.entries, key)
		}
	}
	for _, puts := range lo.Chunk(t.Puts, store.MaxTransactionEntries) {
		if _, err := r.kv.Commit(ctx, store.Transaction{Puts: puts}); err != nil {
			return err
		}
	}
	for _, deletes := range lo.Chunk(t.Deletes, store.MaxTransactionEntries) {
		if _, err := r.kv.Commit(ctx, store.Transaction{Deletes: deletes}); err != nil {
			return err
		}
	}
	return nil
}

// stoppedByOrder reports whether the machine has no worker because of a move or an upkeep in progress.
func (m *machine) stoppedByOrder() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == stateMoving || m.state == stateUpkeep
}

func (r *registry) entry(m *machine, now time.Time) (key string, value []byte, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == nil {
		return "", nil, false
	}
	key = workersPrefix + m.current.id
	e := r.entries[key]
	if e == nil {
		e = &registration{machine: m}
		r.entries[key] = e
	}
	if now.Sub(e.reported) < Heartbeat {
		return key, nil, false
	}
	e.seq++
	e.reported = now
	value, _ = json.Marshal(map[string]any{ // strings and numbers always marshal
		"service": m.current.pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"coldRemainingMs": 0, "seq": e.seq, "capacity": m.capacity, "labels": m.labels(), "machine": m.id,
		"born": m.current.born.UnixMilli(),
	})
	return key, value, true
}
