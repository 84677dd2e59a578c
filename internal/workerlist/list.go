// Package workerlist follows the registry of workers in the store.
package workerlist

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
	"github.com/agateturn/agateturn/wait"
)

const (
	// watchWait is the longest time that one watch waits for a change.
	watchWait = 5 * time.Second
	// watchDelay is the delay between two watches. It bounds the calls to the store, since workers write often and each
	// watch returns at the first change.
	watchDelay = 150 * time.Millisecond
	// removalGrace is how long a worker stays in the list, marked as unlisted, after its entry was removed. Entries that
	// expire while the store is down, or while the worker cannot reach it, are restored later.
	removalGrace = 3 * time.Second
	// refreshInterval is the time without an event after which the registry is read again, as the watch may have stalled.
	refreshInterval = 4 * time.Second
	// retryDelay is the delay after a failed call.
	retryDelay = 250 * time.Millisecond
)

// Parse parses an entry of the registry and returns the worker and its pool.
type Parse func(key string, data []byte) (scheduler.Worker, string, error)

// List follows the registry. It is not safe for concurrent use; Run calls onChange from its own goroutine.
type List struct {
	kv       store.Transactor
	prefix   string
	parse    Parse
	clock    func() time.Time
	log      *slog.Logger
	onChange func(pools map[string][]scheduler.Worker)
	// entries is keyed by store key.
	entries map[string]entry
	// invalid holds the versions of entries that cannot be parsed, by key, so that each key is logged once until it is valid.
	invalid map[string]uint64
	// asOf is the store revision up to which the entries are current, or 0 before the first read.
	asOf uint64
	// lastUpdate is when the registry was last read, or when the last watch that returned an event started.
	lastUpdate time.Time
}

type entry struct {
	worker scheduler.Worker
	pool   string
	// version is the store version of the entry.
	version uint64
	// removedAt is when the entry was found removed, or zero while it exists.
	removedAt time.Time
}

// New returns a List that calls onChange with all workers by pool whenever a change matters to the scheduler.
func New(kv store.Transactor, prefix string, parse Parse, clock func() time.Time, log *slog.Logger,
	onChange func(pools map[string][]scheduler.Worker),
) *List {
	return &List{
		kv: kv, prefix: prefix, parse: parse, clock: clock, log: log, onChange: onChange,
		entries: make(map[string]entry), invalid: make(map[string]uint64),
	}
}

// Run follows the registry until ctx ends.
func (l *List) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.syncOnce(ctx); err != nil {
			_ = wait.For(ctx, retryDelay)
			continue
		}
		_ = wait.For(ctx, watchDelay)
	}
}

// syncOnce reads the whole registry if it was not read yet or no event arrived within refreshInterval. Otherwise it watches
// the registry once.
func (l *List) syncOnce(ctx context.Context) error {
	now := l.clock()
	if l.asOf == 0 || now.Sub(l.lastUpdate) > refreshInterval {
		return l.read(ctx, now)
	}
	maxWait := min(watchWait, l.untilRemoval(now))
	events, asOf, err := l.kv.Watch(ctx, l.prefix, l.asOf, maxWait)
	if store.Compacted.Has(err) {
		l.asOf = 0
		return nil
	}
	if err != nil {
		return err
	}
	l.asOf = max(l.asOf, asOf)
	if len(events) > 0 {
		l.lastUpdate = now
	}
	l.apply(ctx, l.clock(), events)
	return nil
}

// read updates the entries from the whole registry. Reads after the first may be stale, so they neither replace nor remove
// entries of a newer version.
func (l *List) read(ctx context.Context, now time.Time) error {
	first := l.asOf == 0
	items, asOf, err := l.kv.Range(ctx, l.prefix, !first)
	if err != nil {
		return err
	}
	l.lastUpdate = now
	changed := false
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
		changed = l.put(ctx, item) || changed
	}
	for key, e := range l.entries {
		if !seen[key] && e.version <= asOf {
			changed = l.remove(key, now) || changed
		}
	}
	if first {
		l.asOf = asOf
	}
	l.publish(now, changed || first)
	return nil
}

func (l *List) apply(ctx context.Context, now time.Time, events []store.Event) {
	changed := false
	for _, e := range events {
		if e.Deleted {
			changed = l.remove(e.Item.Key, now) || changed
			continue
		}
		changed = l.put(ctx, e.Item) || changed
	}
	l.publish(now, changed)
}

// put adds or updates an entry and reports whether this matters to the scheduler. An entry that cannot be parsed counts as
// removed.
func (l *List) put(ctx context.Context, item store.Item) bool {
	old, had := l.entries[item.Key]
	if had && item.Version <= old.version {
		return false
	}
	worker, pool, err := l.parse(item.Key, item.Data)
	if err != nil {
		l.logInvalid(ctx, item, err)
		return l.remove(item.Key, l.clock())
	}
	delete(l.invalid, item.Key)
	l.entries[item.Key] = entry{worker: worker, pool: pool, version: item.Version}
	return !had || !old.removedAt.IsZero() || old.pool != pool || !equivalent(old.worker, worker)
}

func (l *List) logInvalid(ctx context.Context, item store.Item, err error) {
	if l.invalid[item.Key] == 0 {
		events.Log(ctx, l.log, events.WorkerUnread, slog.String("key", item.Key),
			slog.Uint64("version", item.Version), slog.String("err", err.Error()))
	}
	l.invalid[item.Key] = item.Version
}

// remove marks an entry as removed and its worker as unlisted. It reports false if the entry is missing or already marked.
func (l *List) remove(key string, now time.Time) bool {
	e, ok := l.entries[key]
	if !ok || !e.removedAt.IsZero() {
		return false
	}
	e.removedAt = now
	e.worker.Unlisted = true
	l.entries[key] = e
	return true
}

// untilRemoval returns the time until the first grace period of a removed entry ends, at most watchWait.
func (l *List) untilRemoval(now time.Time) time.Duration {
	left := watchWait
	for _, e := range l.entries {
		if !e.removedAt.IsZero() {
			left = min(left, max(removalGrace-now.Sub(e.removedAt), time.Millisecond))
		}
	}
	return left
}

// publish deletes the entries whose grace period has ended, and calls onChange if an entry was deleted or changed is set.
func (l *List) publish(now time.Time, changed bool) {
	for key, e := range l.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) >= removalGrace {
			delete(l.entries, key)
			changed = true
		}
	}
	if !changed {
		return
	}
	pools := make(map[string][]scheduler.Worker)
	for _, e := range l.entries {
		pools[e.pool] = append(pools[e.pool], e.worker)
	}
	for _, workers := range pools {
		slices.SortFunc(workers, func(a, b scheduler.Worker) int { return strings.Compare(a.ID, b.ID) })
	}
	l.onChange(pools)
}

// equivalent compares the fields that matter to the scheduler. It ignores DrainLeft, which changes with each report.
func equivalent(a, b scheduler.Worker) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		slices.Equal(a.Labels, b.Labels) && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Unlisted == b.Unlisted && a.Host == b.Host && a.Born == b.Born
}
