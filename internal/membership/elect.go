package membership

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/ownership"
	"github.com/agateturn/agateturn/store"
)

const (
	// retryWrite is the mean wait before an owner key is written again after the store did not answer.
	retryWrite = 400 * time.Millisecond
	// writeSpacing is the least time between two writes of an owner key.
	writeSpacing = 50 * time.Millisecond
)

// elector is the state of the elector's goroutine; no other touches it.
type elector struct {
	view  view
	pools []string
	// lease is 0 while this host holds none.
	lease   uint64
	settled time.Time
	// leased is set by the first lease.
	leased bool
	// registerBy is when the member key should have been seen.
	registerBy time.Time
	leaving    bool
	// held are the fences that Gained was called with.
	held map[string]uint64
	// refused are fences that a worker or the store refused.
	refused map[string]uint64
	// busy are the pools whose key this host is writing.
	busy   map[string]bool
	notYet map[string]time.Time
}

func newElector() elector {
	return elector{
		view:    view{members: make(map[string]*memberState), owners: make(map[string]*ownerState)},
		held:    make(map[string]uint64),
		refused: make(map[string]uint64),
		busy:    make(map[string]bool),
		notYet:  make(map[string]time.Time),
	}
}

func (e *elector) setPools(pools []string, now time.Time) {
	slices.Sort(pools)
	e.pools = slices.Compact(pools)
	for _, p := range e.pools {
		e.view.owner(p, now)
	}
	unused := func(pool string) bool { return !slices.Contains(e.pools, pool) }
	maps.DeleteFunc(e.view.owners, func(p string, s *ownerState) bool { return s.owner == nil && unused(p) })
	maps.DeleteFunc(e.refused, func(p string, _ uint64) bool { return unused(p) })
	maps.DeleteFunc(e.notYet, func(p string, _ time.Time) bool { return unused(p) })
}

// gainLease begins a new lease. After an earlier one the other hosts may have lost theirs too: each needs a renewal to
// notice, and may then regain its pools before others take them.
func (e *elector) gainLease(lease uint64, now time.Time, opts Options) {
	wait := opts.Settle
	if e.leased {
		wait = max(wait, opts.LeaseTTL/2)
	}
	e.lease, e.leased = lease, true
	e.settled = now.Add(wait)
	e.registerBy = now.Add(opts.Settle)
}

// loseLease notes that the keys under the lease are gone: deleted by a revision after that of their write.
func (e *elector) loseLease(now time.Time) {
	for _, s := range e.view.owners {
		if s.owner != nil && s.lease == e.lease {
			s.free(s.version+1, now)
		}
	}
	e.lease = 0
}

// elect is the elector's goroutine.
func (m *Manager) elect(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case do := <-m.inbox.Items():
			do(ctx)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		timer.Reset(m.step(ctx))
	}
}

// step brings events, takes and the snapshot up to the state, and returns how long nothing is due.
func (m *Manager) step(ctx context.Context) time.Duration {
	e, now := &m.elector, m.clock()
	m.publish()
	wait := time.Minute
	if e.lease == 0 || e.leaving || !e.view.loaded {
		return wait
	}
	if s, ok := e.view.members[m.self.Name]; (!ok || s.member == nil || s.lease != e.lease) && now.After(e.registerBy) {
		wake(m.registerNow)
	}
	if m.releaseUnwanted(ctx) {
		wait = retryWrite
	}
	e.view.noteRestarts(now)
	v := e.view.decide(e.pools, e.settled, now)
	for _, t := range ownership.Takeovers(v, m.self.Name, m.opts.RankStep) {
		at := lo.Latest(t.At, e.notYet[t.Pool])
		if at.After(now) {
			wait = min(wait, at.Sub(now))
			continue
		}
		lease, from := e.lease, uint64(0)
		if s := e.view.owners[t.Pool]; s.gone {
			from = s.version
		}
		m.spawnWrite(t.Pool, func() ([]store.Event, error) { return m.take(ctx, t.Pool, lease, from) })
	}
	return wait
}

// publish calls Events for what changed and renews the snapshot.
func (m *Manager) publish() {
	e := &m.elector
	held := make(map[string]uint64)
	owners := make(map[string]holding)
	for pool, s := range e.view.owners {
		if s.owner == nil {
			continue
		}
		owners[pool] = holding{rec: s.owner, fence: s.version}
		if m.owns(pool, s) {
			held[pool] = s.version
		}
	}
	before := e.held
	e.held = held
	m.known.Store(&snapshot{owners: owners, members: e.view.live(), held: maps.Clone(held)})
	for _, pool := range sortedKeys(before) {
		if held[pool] != before[pool] {
			m.events.Lost(pool, before[pool])
		}
	}
	for _, pool := range sortedKeys(held) {
		if held[pool] != before[pool] {
			m.events.Gained(pool, held[pool])
		}
	}
}

// hasKey tells whether the key is this host's, under its present lease.
func (m *Manager) hasKey(s *ownerState) bool {
	e := &m.elector
	ours := s.owner.GetMember() == m.self.Name && s.owner.GetIncarnation() == m.self.Incarnation
	return ours && e.lease != 0 && s.lease == e.lease
}

// owns tells whether this host has the key of a pool that is to be owned, with a fence that was not refused.
func (m *Manager) owns(pool string, s *ownerState) bool {
	e := &m.elector
	return m.hasKey(s) && s.version > e.refused[pool] && slices.Contains(e.pools, pool)
}

func sortedKeys[V any](from map[string]V) []string {
	keys := lo.Keys(from)
	slices.Sort(keys)
	return keys
}

// spawnWrite writes a pool's owner key, one call at a time, and takes in the key's state.
func (m *Manager) spawnWrite(pool string, write func() ([]store.Event, error)) {
	e := &m.elector
	if e.busy[pool] || e.notYet[pool].After(m.clock()) {
		return
	}
	e.busy[pool] = true
	m.calls.Go(func() {
		events, err := write()
		m.post(m.life, func(context.Context) {
			now := m.clock()
			delete(e.busy, pool)
			for _, event := range events {
				e.view.apply(event, now)
			}
			e.notYet[pool] = now.Add(writeSpacing)
			switch {
			case store.LeaseLost.Has(err):
				wake(m.renewNow)
			case err != nil:
				e.notYet[pool] = now.Add(retryWrite/2 + time.Duration(rand.Int64N(int64(retryWrite))))
			}
		})
	})
}

// take returns the state of the owner key after an attempt to put this host's record there, in place of the one with
// the fence from (0: none).
func (m *Manager) take(ctx context.Context, pool string, lease, from uint64) ([]store.Event, error) {
	key := jobkeys.Owner(pool)
	put, err := m.ownerPut(key, lease)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	version, err := m.kv.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: from}},
		Puts:       []store.Put{put},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.noteHeard()
		return []store.Event{{Item: store.Item{Key: key, Data: put.Data, Version: version, Lease: lease}}}, nil
	case errors.As(err, &conflict):
		return statesOf(conflict, key, from), nil
	case store.Unknown.Has(err):
		return m.readBack(ctx, key)
	}
	return nil, err
}

func (m *Manager) ownerPut(key string, lease uint64) (store.Put, error) {
	data, err := proto.Marshal(&pb.OwnerRecord{
		Member: m.self.Name, Incarnation: m.self.Incarnation, PeerAddress: m.self.PeerAddress,
	})
	return store.Put{Key: key, Data: data, Lease: lease}, err
}

// readBack returns the state of a key whose write was not answered. The write may still land later; the watch tells.
func (m *Manager) readBack(ctx context.Context, key string) ([]store.Event, error) {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	item, err := m.kv.Get(call, key)
	if err != nil {
		return nil, err
	}
	m.noteHeard()
	if item.Version == 0 {
		return nil, store.Unknown.New("no trace of the write")
	}
	return []store.Event{{Item: item}}, nil
}

// refuse drops a pool whose fence was refused. If the store still has the key, releaseUnwanted removes it: the next take
// has a new fence.
func (m *Manager) refuse(pool string, fence uint64) {
	if m.elector.held[pool] == fence {
		m.elector.refused[pool] = fence
	}
}

// releaseUnwanted frees the keys that this host has without owning the pool: with a refused fence, or of a pool that is
// no longer to be owned. It reports whether there are any.
func (m *Manager) releaseUnwanted(ctx context.Context) bool {
	e := &m.elector
	found := false
	for _, pool := range sortedKeys(e.view.owners) {
		s := e.view.owners[pool]
		if !m.hasKey(s) || m.owns(pool, s) {
			continue
		}
		found = true
		fence := s.version
		m.spawnWrite(pool, func() ([]store.Event, error) { return m.release(ctx, pool, fence) })
	}
	return found
}

// release deletes the owner key if it has the fence, and returns the key's state.
func (m *Manager) release(ctx context.Context, pool string, fence uint64) ([]store.Event, error) {
	key := jobkeys.Owner(pool)
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	version, err := m.kv.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: fence}},
		Deletes:    []string{key},
	})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return statesOf(conflict, key, fence), nil
	}
	if err != nil {
		return nil, err
	}
	m.noteHeard()
	return []store.Event{{Item: store.Item{Key: key, Version: version}, Deleted: true}}, nil
}

// statesOf is the state of a key that a conflict showed; the conflict may leave out an absent key. An absent key that had
// the version expected was deleted by a later revision.
func statesOf(conflict *store.ConflictError, key string, expected uint64) []store.Event {
	for _, i := range conflict.Items {
		if i.Key == key && i.Version > 0 {
			return []store.Event{{Item: i}}
		}
	}
	return []store.Event{{Item: store.Item{Key: key, Version: expected + 1}, Deleted: true}}
}
