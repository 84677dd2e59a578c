package memtxn

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

func (s *Store) grantLocked(client string, ttl time.Duration) uint64 {
	s.revision++
	id := s.revision
	s.leases[id] = &lease{
		client:  client,
		ttl:     ttl,
		expires: time.Now().Add(ttl),
		timer:   time.AfterFunc(ttl, func() { s.expire(id) }),
	}
	return id
}

func (s *Store) renewLocked(id uint64) error {
	l, ok := s.leases[id]
	if !ok {
		return store.LeaseLost.New("no lease %d", id)
	}
	l.expires = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

// expire runs when a lease's timer fires. With Faults.PauseLeases, it extends the lease while the store is down.
func (s *Store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return
	}
	if s.faults.Down && s.faults.PauseLeases {
		l.expires = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		return
	}
	if remaining := time.Until(l.expires); remaining > 0 {
		l.timer.Reset(remaining)
		return
	}
	s.endLocked(id)
}

// endLocked ends a lease and deletes its keys in a single revision.
func (s *Store) endLocked(id uint64) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	keys := lo.Keys(lo.PickBy(s.items, func(_ string, i store.Item) bool { return i.Lease == id }))
	slices.Sort(keys)
	s.revision++
	for _, key := range keys {
		s.deleteLocked(key)
	}
	s.wakeLocked()
}

// RevokeAll revokes all leases immediately, as an operator or a fault of the store may do.
func (s *Store) RevokeAll() { s.revokeIf(func(*lease) bool { return true }) }

// RevokeClient revokes the leases that were granted to the named client.
func (s *Store) RevokeClient(name string) {
	s.revokeIf(func(l *lease) bool { return l.client == name })
}

func (s *Store) revokeIf(matches func(*lease) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := lo.Keys(lo.PickBy(s.leases, func(_ uint64, l *lease) bool { return matches(l) }))
	slices.Sort(ids)
	for _, id := range ids {
		s.endLocked(id)
	}
}

// Remove deletes a key without involving its owner; the lease of the key remains.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.deleteLocked(key)
	s.wakeLocked()
}

// Compact discards the history: watches from any revision before the call, the latest included, return store.Compacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.floor = s.revision
	s.revision++
	s.floor = s.revision
	s.wakeLocked()
}
