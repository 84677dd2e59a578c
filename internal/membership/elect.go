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
	// retryWrite is the mean delay before an owner key is written again after a failed write.
	retryWrite = 400 * time.Millisecond
	// writeSpacing is the minimum time between two writes of an owner key.
	writeSpacing = 50 * time.Millisecond
)

// elector is the state of the elector's goroutine; no other goroutine accesses it.
type elector struct {
	view  view
	pools []string
	// lease is the current lease of this host, or 0.
	lease uint64
	// settled is the time before which this host acquires only pools that it owned last.
	settled time.Time
	// leased is set when the first lease is granted.
	leased bool
	// registerBy is the time after which the member key is written again if it is absent or attached to another lease.
	registerBy time.Time
	leaving    bool
	// held are, by pool, the fencing tokens of the pools that this host owned when the state was last published.
	held map[string]uint64
	// rejected is, by pool, the newest fencing token that this host must no longer use: a worker or the store rejected it,
	// a peer accepted the pool, or its term has ended. Pools that are no longer configured are kept, as they may return.
	rejected map[string]uint64
	// rejectedBy is, by pool, why the fencing token in rejected must no longer be used.
	rejectedBy map[string]string
	// basis is, by pool, why this host last tried to acquire it.
	basis map[string]string
	// writing are the pools whose owner key this host is writing or deleting.
	writing map[string]bool
	// notBefore is, by pool, the earliest time of the next write or deletion of the owner key.
	notBefore map[string]time.Time
}

func newElector() elector {
	return elector{
		view:       view{members: make(map[string]*memberState), owners: make(map[string]*ownerState)},
		held:       make(map[string]uint64),
		rejected:   make(map[string]uint64),
		rejectedBy: make(map[string]string),
		basis:      make(map[string]string),
		writing:    make(map[string]bool),
		notBefore:  make(map[string]time.Time),
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
	maps.DeleteFunc(e.basis, func(p, _ string) bool { return unused(p) })
	maps.DeleteFunc(e.notBefore, func(p string, _ time.Time) bool { return unused(p) })
}

// gainLease records a new lease. If it follows an earlier one, the other hosts may have lost theirs too. Waiting at least
// half a lease TTL then lets each host notice the loss at its next renewal and regain its pools before others take them.
func (e *elector) gainLease(lease uint64, now time.Time, opts Options) {
	wait := opts.Settle
	if e.leased {
		wait = max(wait, opts.LeaseTTL/2)
	}
	e.lease, e.leased = lease, true
	e.settled = now.Add(wait)
	e.registerBy = now.Add(opts.Settle)
}

// loseLease marks the pools whose keys were attached to the lease as free. The store deletes such a key at some later
// revision; version+1 is the earliest possible.
func (e *elector) loseLease(now time.Time) {
	for _, s := range e.view.owners {
		if s.owner != nil && s.lease == e.lease {
			s.free(s.version+1, now)
			s.learned = leaseEnded
		}
	}
	e.lease = 0
}

// elect runs the elector: it executes the functions from the inbox and the steps that are due.
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

// step publishes the state, starts the writes that are due (registration, releases and takeovers), and returns the maximum
// time until the next step.
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
	e.view.markRestarted(now)
	v := e.view.ownershipView(e.pools, e.settled, now)
	for _, t := range ownership.Takeovers(v, m.self.Name, m.opts.RankStep) {
		at := lo.Latest(t.At, e.notBefore[t.Pool])
		if at.After(now) {
			wait = min(wait, at.Sub(now))
			continue
		}
		lease, from := e.lease, uint64(0)
		e.basis[t.Pool] = keyFree
		if s := e.view.owners[t.Pool]; s.gone != "" {
			from, e.basis[t.Pool] = s.version, s.gone
		}
		m.spawnWrite(t.Pool, func() ([]store.Event, error) { return m.take(ctx, t.Pool, lease, from) })
	}
	return wait
}

// publish replaces the snapshot and calls Events for each pool gained or lost. A pool with a new fencing token counts as
// lost and gained.
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
			m.logLost(pool, before[pool])
			e.rejected[pool] = max(e.rejected[pool], before[pool])
			m.events.Lost(pool, before[pool])
		}
	}
	for _, pool := range sortedKeys(held) {
		if held[pool] != before[pool] {
			m.logGained(pool, held[pool])
			m.confirmGained(pool, held[pool])
			m.events.Gained(pool, held[pool])
		}
	}
}

// hasKey reports whether the owner key names this incarnation of the host and is attached to its current lease.
func (m *Manager) hasKey(s *ownerState) bool {
	e := &m.elector
	ours := s.owner.GetMember() == m.self.Name && s.owner.GetIncarnation() == m.self.Incarnation
	return ours && e.lease != 0 && s.lease == e.lease
}

// owns reports whether this host has the key of a configured pool, with a fencing token that was not rejected.
func (m *Manager) owns(pool string, s *ownerState) bool {
	e := &m.elector
	return m.hasKey(s) && s.version > e.rejected[pool] && slices.Contains(e.pools, pool)
}

func sortedKeys[V any](from map[string]V) []string {
	keys := lo.Keys(from)
	slices.Sort(keys)
	return keys
}

// spawnWrite writes or deletes a pool's owner key in a goroutine and applies the key's new state. It does nothing while
// another write for the pool is in flight or before notBefore.
func (m *Manager) spawnWrite(pool string, write func() ([]store.Event, error)) {
	e := &m.elector
	if e.writing[pool] || e.notBefore[pool].After(m.clock()) {
		return
	}
	e.writing[pool] = true
	m.calls.Go(func() {
		events, err := write()
		m.post(m.runCtx, func(context.Context) {
			now := m.clock()
			delete(e.writing, pool)
			for _, event := range events {
				e.view.apply(event, fromWrite, now)
			}
			e.notBefore[pool] = now.Add(writeSpacing)
			switch {
			case store.LeaseLost.Has(err):
				wake(m.renewNow)
			case err != nil:
				e.notBefore[pool] = now.Add(retryWrite/2 + time.Duration(rand.Int64N(int64(retryWrite))))
			}
		})
	})
}

// take writes this host's owner record if the key still has the fencing token from (0: no record), and returns the state
// of the key afterwards, which may be another owner's.
func (m *Manager) take(ctx context.Context, pool string, lease, from uint64) ([]store.Event, error) {
	key := jobkeys.Owner(pool)
	put, err := m.ownerPut(key, lease)
	if err != nil {
		return nil, err
	}
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	started := m.clock()
	version, err := m.kv.Commit(call, store.Transaction{
		Conditions: []store.Condition{{Key: key, Version: from}},
		Puts:       []store.Put{put},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		m.recordAnswer()
		m.confirmation.ConfirmPool(pool, version, started)
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

// readBack returns the state of a key after a write with an unknown outcome. An absent key is an error, since the write
// may still take effect; the watch then reports it.
func (m *Manager) readBack(ctx context.Context, key string) ([]store.Event, error) {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	item, err := m.kv.Get(call, key)
	if err != nil {
		return nil, err
	}
	m.recordAnswer()
	if item.Version == 0 {
		return nil, store.Unknown.New("the key is absent; the write may still take effect")
	}
	return []store.Event{{Item: item}}, nil
}

// reject gives up a pool whose fencing token was rejected, if this host still owns the pool under that token. If the store
// still has the key, releaseUnwanted deletes it, so that the next acquisition gets a new fencing token.
func (m *Manager) reject(pool string, fence uint64) {
	if m.elector.held[pool] == fence {
		m.elector.reject(pool, fence, fenceRejected)
	}
}

// releaseUnwanted deletes the owner keys that this host has without owning the pool: those with a rejected fencing token
// and those of pools that are no longer configured. It reports whether it found any.
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

// release deletes the owner key if it has the fencing token, and returns the key's state.
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
	m.recordAnswer()
	return []store.Event{{Item: store.Item{Key: key, Version: version}, Deleted: true}}, nil
}

// statesOf returns the state of a key as reported by a conflict. The conflict may omit an absent key, which is returned as
// deleted at the revision after the expected version, the earliest possible.
func statesOf(conflict *store.ConflictError, key string, expected uint64) []store.Event {
	for _, i := range conflict.Items {
		if i.Key == key && i.Version > 0 {
			return []store.Event{{Item: i}}
		}
	}
	return []store.Event{{Item: store.Item{Key: key, Version: expected + 1}, Deleted: true}}
}
