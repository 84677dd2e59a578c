package memstore

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

// session owns keys until it expires or is destroyed; then its keys are deleted.
type session struct {
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// CreateSession returns the id of a new session that expires after ttl (0: the store's lease TTL).
func (s *Store) CreateSession(ctx context.Context, ttl time.Duration) (string, error) {
	if ttl <= 0 {
		ttl = s.leaseTTL
	}
	var id string
	err := s.write(ctx, kindLease, func() error {
		s.index++
		id = "session-" + strconv.FormatUint(s.index, 10)
		s.sessions[id] = &session{
			ttl:     ttl,
			expires: time.Now().Add(ttl),
			timer:   time.AfterFunc(ttl, func() { s.expire(id) }),
		}
		return nil
	})
	return id, err
}

// RenewSession extends the session by its TTL. Errors: store.LeaseLost, store.Unavailable, store.Unknown.
func (s *Store) RenewSession(ctx context.Context, id string) error {
	return s.write(ctx, kindLease, func() error {
		found, ok := s.sessions[id]
		if !ok {
			return store.LeaseLost.New("session %q expired", id)
		}
		found.expires = time.Now().Add(found.ttl)
		found.timer.Reset(found.ttl)
		return nil
	})
}

// DestroySession ends the session and deletes its keys. It is not an error if the session no longer exists.
func (s *Store) DestroySession(ctx context.Context, id string) error {
	return s.write(ctx, kindLease, func() error {
		s.endLocked(id)
		return nil
	})
}

// AcquireKey writes data to the key if no other session owns it, and makes the session its owner.
// Errors: store.Conflict, store.LeaseLost, store.Unavailable, store.Unknown.
func (s *Store) AcquireKey(ctx context.Context, id, key string, data []byte) error {
	return s.write(ctx, kindLease, func() error {
		if _, ok := s.sessions[id]; !ok {
			return store.LeaseLost.New("session %q expired", id)
		}
		found, ok := s.keys[key]
		if ok && found.session != "" && found.session != id {
			return store.Conflict.New("key %q is held by %q", key, found.data)
		}
		s.setLocked(key, data)
		s.keys[key].session = id
		return nil
	})
}

// SessionOf returns the session that owns the key, or "".
func (s *Store) SessionOf(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.keys[key]; ok {
		return found.session
	}
	return ""
}

// ExpireSessions expires all sessions immediately, as if their holders had been paused.
func (s *Store) ExpireSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := lo.Keys(s.sessions)
	slices.Sort(ids)
	for _, id := range ids {
		s.endLocked(id)
	}
}

// expire runs when the session's timer fires. It checks the time again, because a renewal may have
// extended the session after the timer fired.
func (s *Store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.sessions[id]
	if !ok || time.Now().Before(found.expires) {
		return
	}
	s.endLocked(id)
}

func (s *Store) endLocked(id string) {
	found, ok := s.sessions[id]
	if !ok {
		return
	}
	found.timer.Stop()
	delete(s.sessions, id)
	owned := lo.Keys(lo.PickBy(s.keys, func(_ string, e *entry) bool { return e.session == id }))
	slices.Sort(owned)
	for _, key := range owned {
		s.deleteLocked(key)
	}
}

// Acquire implements store.Leases.
func (s *Store) Acquire(ctx context.Context, key, holder string) (store.Lease, error) {
	id, err := s.CreateSession(ctx, s.leaseTTL)
	if err != nil {
		return nil, err
	}
	if err := s.AcquireKey(ctx, id, key, []byte(holder)); err != nil {
		if store.Conflict.Has(err) {
			_ = s.DestroySession(ctx, id) // the session holds no key and expires if this call fails
		}
		return nil, err
	}
	return &lease{store: s, session: id}, nil
}

type lease struct {
	store   *Store
	session string
}

// Renew implements store.Lease.
func (l *lease) Renew(ctx context.Context) error {
	err := l.store.RenewSession(ctx, l.session)
	if store.Unknown.Has(err) {
		return store.Unavailable.Wrap(err)
	}
	return err
}

// Release implements store.Lease.
func (l *lease) Release(ctx context.Context) error {
	return l.store.DestroySession(ctx, l.session)
}
