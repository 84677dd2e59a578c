// Package memstore is an in-memory store with fault injection, for tests and for callers without a platform.
//
// It implements store.KV and store.Leases. It uses the clock of package time, so it works with testing/synctest.
package memstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/agateturn/agateturn/store"
)

// DefaultLeaseTTL is the time after which a lease expires unless it is renewed.
const DefaultLeaseTTL = 10 * time.Second

// Store keeps keys in memory. All methods are safe for concurrent use.
type Store struct {
	leaseTTL time.Duration

	mu       sync.Mutex
	index    uint64
	keys     map[string]*entry
	sessions map[string]*session
	faults   Faults
	counters Counters
	// second is the Unix time in seconds to which counters.CurrentSecond refers.
	second int64
	// changed is closed and replaced whenever a key or the faults change.
	changed chan struct{}
}

type entry struct {
	data    []byte
	version uint64
	session string
}

// New returns an empty store whose leases expire after leaseTTL (0: DefaultLeaseTTL).
func New(leaseTTL time.Duration) *Store {
	if leaseTTL <= 0 {
		leaseTTL = DefaultLeaseTTL
	}
	return &Store{
		leaseTTL: leaseTTL,
		keys:     make(map[string]*entry),
		sessions: make(map[string]*session),
		changed:  make(chan struct{}),
	}
}

var (
	_ store.KV     = (*Store)(nil)
	_ store.Leases = (*Store)(nil)
)

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (store.Value, error) {
	if err := s.beginRead(ctx, kindRead); err != nil {
		return store.Value{}, err
	}
	s.mu.Lock()
	value, down := s.valueLocked(key), s.faults.Down
	s.mu.Unlock()
	if down {
		return store.Value{}, errDown()
	}
	return value, s.endRead(ctx)
}

// CompareAndSwap implements store.KV.
func (s *Store) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	var newVersion uint64
	err := s.write(ctx, kindWrite, func() error {
		found := s.valueLocked(key).Version
		if found != version {
			return store.Conflict.New("key %q has version %d, not %d", key, found, version)
		}
		newVersion = s.setLocked(key, data)
		return nil
	})
	return newVersion, err
}

// Wait implements store.KV.
func (s *Store) Wait(ctx context.Context, key string, version uint64) (store.Value, error) {
	return s.waitUntil(ctx, key, func(v store.Value, _ uint64) bool { return v.Version != version })
}

// WaitAfter is like Wait, but relative to the store's index: it returns once the key has been written or deleted after
// index. If the key is absent at the start, a write to any key after index has the same effect.
func (s *Store) WaitAfter(ctx context.Context, key string, index uint64) (store.Value, error) {
	var known uint64
	first := true
	return s.waitUntil(ctx, key, func(v store.Value, now uint64) bool {
		if first {
			first, known = false, v.Version
			return v.Version > index || (v.Version == 0 && now > index)
		}
		return v.Version != known
	})
}

// waitUntil waits until done returns true for the key's value and the store's index.
func (s *Store) waitUntil(ctx context.Context, key string, done func(store.Value, uint64) bool) (store.Value, error) {
	if err := s.beginRead(ctx, kindWatch); err != nil {
		return store.Value{}, err
	}
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		s.mu.Lock()
		value, index, changed, down := s.valueLocked(key), s.index, s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return store.Value{}, errDown()
		}
		if done(value, index) {
			return value, s.endRead(ctx)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return value, watchError(ctx)
		}
	}
}

// Index returns the version of the latest write to any key.
func (s *Store) Index() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// watchError returns nil for a watch that reached its deadline and an error for a cancelled one.
func watchError(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return nil
	}
	return store.Unavailable.Wrap(ctx.Err())
}

func (s *Store) valueLocked(key string) store.Value {
	found, ok := s.keys[key]
	if !ok {
		return store.Value{}
	}
	return store.Value{Data: append([]byte(nil), found.data...), Version: found.version}
}

func (s *Store) setLocked(key string, data []byte) uint64 {
	s.index++
	found, ok := s.keys[key]
	if !ok {
		found = &entry{}
		s.keys[key] = found
	}
	found.data = append([]byte(nil), data...)
	found.version = s.index
	s.wakeLocked()
	return s.index
}

func (s *Store) deleteLocked(key string) {
	s.index++
	delete(s.keys, key)
	s.wakeLocked()
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func errDown() error {
	return store.Unavailable.New("the store is down")
}

func errLost(what string) error {
	return store.Unknown.Wrap(fmt.Errorf("the answer to the %s was lost", what))
}
