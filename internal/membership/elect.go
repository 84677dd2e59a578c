package membership

import (
	"context"
	"errors"
	"log/slog"
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

// retryWrite is the mean wait before an owner key is written again after the store did not answer.
const retryWrite = 400 * time.Millisecond

// elector is the state of the elector's goroutine; no other touches it.
type elector struct {
	view  view
	pools []string
	// lease is 0 while this host holds none.
	lease   uint64
	settled time.Time
	leaving bool
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
	if s, ok := e.view.members[m.self.Name]; (!ok || s.member == nil || s.lease != e.lease) && now.After(e.settled) {
		wake(m.registerNow)
	}
	if m.releaseRefused(ctx) {
		wait = retryWrite
	}
	v := e.view.decide(e.pools, e.settled, now)
	for _, t := range ownership.Turns(v, m.self.Name, m.opts.RankStep) {
		at := lo.Latest(t.At, e.notYet[t.Pool])
		if at.After(now) {
			wait = min(wait, at.Sub(now))
			continue
		}
		lease := e.lease
		m.spawnWrite(t.Pool, func() ([]store.Event, error) { return m.take(ctx, t.Pool, lease) })
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
			m.log.Info("pool lost", slog.String("pool", pool), slog.Uint64("fence", before[pool]))
			m.events.Lost(pool, before[pool])
		}
	}
	for _, pool := range sortedKeys(held) {
		if held[pool] != before[pool] {
			m.log.Info("pool gained", slog.String("pool", pool), slog.Uint64("fence", held[pool]))
			m.events.Gained(pool, held[pool])
		}
	}
}

// owns tells whether the key is this host's, under its present lease, and its fence was not refused.
func (m *Manager) owns(pool string, s *ownerState) bool {
	e := &m.elector
	ours := s.owner.GetMember() == m.self.Name && s.owner.GetIncarnation() == m.self.Incarnation
	return ours && e.lease != 0 && s.lease == e.lease && s.version > e.refused[pool] && slices.Contains(e.pools, pool)
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
			if err != nil {
				e.notYet[pool] = now.Add(retryWrite/2 + time.Duration(rand.Int64N(int64(retryWrite))))
			}
			if store.LeaseLost.Has(err) {
				wake(m.renewNow)
			}
		})
	})
}

// take returns the state of the owner key after an attempt to put this host's record there.
func (m *Manager) take(ctx context.Context, pool string, lease uint64) ([]store.Event, error) {
	key := jobkeys.Owner(pool)
	put, err := m.ownerPut(key, lease)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	version, err := m.kv.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: key}},
		Puts:       []store.Put{put},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.noteHeard()
		return []store.Event{{Item: store.Item{Key: key, Data: put.Data, Version: version, Lease: lease}}}, nil
	case errors.As(err, &conflict):
		return lo.Map(conflict.Items, func(i store.Item, _ int) store.Event { return store.Event{Item: i} }), nil
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
		return nil, store.Unknown.New("no trace of the write yet")
	}
	return []store.Event{{Item: item}}, nil
}

// refuse drops a pool whose fence was refused. If the store still has the key, releaseRefused removes it: the next take
// has a new fence.
func (m *Manager) refuse(pool string, fence uint64) {
	if m.elector.held[pool] == fence {
		m.elector.refused[pool] = fence
	}
}

// releaseRefused frees pools whose key this host has with a refused fence. It reports whether there are any.
func (m *Manager) releaseRefused(ctx context.Context) bool {
	e := &m.elector
	found := false
	for _, pool := range sortedKeys(e.refused) {
		s := e.view.owners[pool]
		if s == nil || s.owner == nil || s.version != e.refused[pool] {
			continue
		}
		found = true
		m.spawnWrite(pool, func() ([]store.Event, error) { return m.release(ctx, pool, s.version) })
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
	if errors.As(err, &conflict) && len(conflict.Items) == 1 {
		item := conflict.Items[0]
		return []store.Event{{Item: item, Deleted: item.Version == 0}}, nil
	}
	if err != nil {
		return nil, err
	}
	m.noteHeard()
	return []store.Event{{Item: store.Item{Key: key, Version: version}, Deleted: true}}, nil
}
