package jobplatform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

const (
	workersPrefix = "servers/"
	// Heartbeat is the time between two reports of a worker to the registry.
	Heartbeat = time.Second
	// silence is how long after its last report the entry of a crashed worker stays.
	silence = 3 * Heartbeat

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

// registry writes the workers' entries into the store.
type registry struct {
	kv      store.Transactor
	entries map[string]*registration
}

// report writes what is due, in as few transactions as the store takes.
func (r *registry) report(ctx context.Context, machines []*machine, now time.Time) error {
	var t store.Transaction
	present := make(map[string]bool)
	for _, m := range machines {
		key, value, due := r.entry(m, now)
		present[key] = true
		if due {
			t.Puts = append(t.Puts, store.Put{Key: key, Data: value})
		}
	}
	for key, e := range r.entries {
		if !present[key] && (e.machine.leftAsOrdered() || now.Sub(e.reported) > silence) {
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

// leftAsOrdered tells whether the machine's last worker ended by a move or an upkeep that goes on.
func (m *machine) leftAsOrdered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state == stateMoving || m.state == stateUpkeep
}

func (r *registry) entry(m *machine, now time.Time) (key string, value []byte, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.life == nil {
		return "", nil, false
	}
	key = workersPrefix + m.life.id
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
	value, _ = json.Marshal(map[string]any{ // strings and numbers always encode
		"service": m.life.pool, "address": m.address, "zone": m.zone, "version": "v1", "slots": workerSlots, "state": "ready",
		"coldRemainingMs": 0, "seq": e.seq, "capacity": m.capacity, "labels": m.labels(), "machine": m.id,
		"born": m.life.born.UnixMilli(),
	})
	return key, value, true
}
