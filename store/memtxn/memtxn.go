// Package memtxn is an in-memory store.Transactor for tests and the demo.
//
// It has leases that expire in real (or virtual) time, watches with a bounded history, and fault injection: see Faults and
// Outcome.
package memtxn

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/agateturn/agateturn/store"
)

// maxHistory limits the number of changes kept for watches.
const maxHistory = 100_000

type lease struct {
	// client is the name of the client that was granted the lease.
	client  string
	ttl     time.Duration
	expires time.Time
	timer   *time.Timer
}

// Store is the state shared by all clients, which access it through Client. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]store.Item
	leases   map[uint64]*lease
	// history contains the changes after revision floor, oldest first.
	history []store.Event
	floor   uint64
	changed chan struct{}
	faults  Faults
	stale   staleView
	rates   rateWindow
	calls   Counts
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		revision: 1,
		floor:    1,
		items:    make(map[string]store.Item),
		leases:   make(map[uint64]*lease),
		changed:  make(chan struct{}),
	}
}

// Client returns the store as seen by the named client; Faults may depend on the client.
func (s *Store) Client(name string) store.Transactor {
	return &client{store: s, name: name}
}

// Items returns the current items below the prefix, sorted by key, regardless of the faults.
func (s *Store) Items(prefix string) []store.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rangeOf(s.items, prefix)
}

func rangeOf(items map[string]store.Item, prefix string) []store.Item {
	found := lo.Filter(lo.Values(items), func(i store.Item, _ int) bool { return strings.HasPrefix(i.Key, prefix) })
	slices.SortFunc(found, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
	return found
}

func (s *Store) commitLocked(t store.Transaction) (uint64, error) {
	if len(t.Conditions)+len(t.Puts)+len(t.Deletes) > store.MaxTransactionEntries {
		return 0, store.Unavailable.New("more than %d entries", store.MaxTransactionEntries)
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return 0, store.LeaseLost.New("no lease %d", p.Lease)
		}
	}
	conditionsHold := lo.EveryBy(t.Conditions, func(c store.Condition) bool { return s.items[c.Key].Version == c.Version })
	if !conditionsHold {
		states := lo.Map(t.Conditions, func(c store.Condition, _ int) store.Item {
			item := s.items[c.Key]
			item.Key = c.Key
			return item
		})
		if s.faults.OmitAbsent {
			states = lo.Filter(states, func(i store.Item, _ int) bool { return i.Version > 0 })
		}
		return 0, &store.ConflictError{Items: states}
	}
	s.revision++
	for _, p := range t.Puts {
		s.putLocked(p)
	}
	for _, key := range t.Deletes {
		s.deleteLocked(key)
	}
	s.wakeLocked()
	return s.revision, nil
}

func (s *Store) putLocked(p store.Put) {
	item := store.Item{Key: p.Key, Data: bytes.Clone(p.Data), Version: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.recordLocked(store.Event{Item: item})
}

func (s *Store) deleteLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.recordLocked(store.Event{Item: store.Item{Key: key, Version: s.revision}, Deleted: true})
}

func (s *Store) recordLocked(e store.Event) {
	s.history = append(s.history, e)
	if len(s.history) > maxHistory {
		s.floor = s.history[0].Item.Version
		s.history = slices.Clone(s.history[1:])
	}
}

// wakeLocked makes waiting watches check for changes and faults.
func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// eventsLocked returns the changes below the prefix after a revision.
func (s *Store) eventsLocked(prefix string, after uint64) ([]store.Event, error) {
	if after < s.floor {
		return nil, store.Compacted.New("history starts after revision %d", s.floor)
	}
	from, _ := slices.BinarySearchFunc(s.history, after+1, func(e store.Event, r uint64) int {
		return int(int64(e.Item.Version) - int64(r)) //nolint:gosec // revisions in tests are small
	})
	return lo.Filter(s.history[from:], func(e store.Event, _ int) bool {
		return strings.HasPrefix(e.Item.Key, prefix)
	}), nil
}

func (s *Store) watch(ctx context.Context, name, prefix string, after uint64, wait time.Duration) ([]store.Event, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, asOf, changed, err := s.poll(name, prefix, after)
		if err != nil || len(events) > 0 {
			return events, asOf, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, asOf, nil
		case <-ctx.Done():
			return nil, 0, store.Unavailable.Wrap(ctx.Err())
		}
	}
}

// poll returns the pending events and the revision, and a channel that is closed at the next change.
func (s *Store) poll(name, prefix string, after uint64) ([]store.Event, uint64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.cut(name) {
		return nil, 0, nil, store.Unavailable.New("watch aborted")
	}
	if s.faults.StallWatches {
		return nil, after, s.changed, nil
	}
	events, err := s.eventsLocked(prefix, after)
	return events, s.revision, s.changed, err
}
