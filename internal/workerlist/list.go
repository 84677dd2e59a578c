// Package workerlist follows the registry of workers in the store while somebody on this host needs it.
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
	// watchWait is how long one watch waits for a change.
	watchWait = 5 * time.Second
	// watchGap is the pause between two watches: workers write often, and each answer is a call.
	watchGap = 150 * time.Millisecond
	// removalGrace is how long a worker whose entry is gone is still listed, as unlisted. Entries that expire while the
	// store is down, or while the worker does not reach it, come back.
	removalGrace = 3 * time.Second
	// refreshInterval is after how long without an event the registry is read anew: the watch may be deaf.
	refreshInterval = 4 * time.Second
	// retry is the pause after a call without success.
	retry = 250 * time.Millisecond
)

// Parse reads an entry of the registry and tells the pool of the worker.
type Parse func(key string, data []byte) (scheduler.Worker, string, error)

// List follows the registry. Run and its methods are for one goroutine; onChange is called from it.
type List struct {
	kv       store.Transactor
	prefix   string
	parse    Parse
	clock    func() time.Time
	log      *slog.Logger
	onChange func(pools map[string][]scheduler.Worker)
	// entries is keyed by store key.
	entries map[string]entry
	// refused remembers odd entries by key, so that each content is logged once.
	refused map[string]uint64
	asOf    uint64
	// heardAt is when the registry was read, or a watch began that brought an event.
	heardAt time.Time
}

type entry struct {
	worker scheduler.Worker
	pool   string
	// version is the revision of the entry.
	version uint64
	// gone is when the entry was found removed; zero while it is there.
	gone time.Time
}

// New returns a list that calls onChange with all workers by pool whenever one changes in substance.
func New(kv store.Transactor, prefix string, parse Parse, clock func() time.Time, log *slog.Logger,
	onChange func(pools map[string][]scheduler.Worker),
) *List {
	return &List{
		kv: kv, prefix: prefix, parse: parse, clock: clock, log: log, onChange: onChange,
		entries: make(map[string]entry), refused: make(map[string]uint64),
	}
}

// Run follows the registry until ctx ends.
func (l *List) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.turn(ctx); err != nil {
			_ = wait.For(ctx, retry)
			continue
		}
		_ = wait.For(ctx, watchGap)
	}
}

// turn reads the registry anew, or watches it once.
func (l *List) turn(ctx context.Context) error {
	now := l.clock()
	if l.asOf == 0 || now.Sub(l.heardAt) > refreshInterval {
		return l.read(ctx, now)
	}
	wait := min(watchWait, l.untilRemoval(now))
	events, asOf, err := l.kv.Watch(ctx, l.prefix, l.asOf, wait)
	if store.Compacted.Has(err) {
		l.asOf = 0
		return nil
	}
	if err != nil {
		return err
	}
	l.asOf = max(l.asOf, asOf)
	if len(events) > 0 {
		l.heardAt = now
	}
	l.apply(ctx, l.clock(), events)
	return nil
}

// read replaces all entries. Later readings may be stale: versions keep older contents from coming back.
func (l *List) read(ctx context.Context, now time.Time) error {
	first := l.asOf == 0
	items, asOf, err := l.kv.Range(ctx, l.prefix, !first)
	if err != nil {
		return err
	}
	l.heardAt = now
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

// put takes in an entry and reports whether it changes what the scheduler sees.
func (l *List) put(ctx context.Context, item store.Item) bool {
	old, had := l.entries[item.Key]
	if had && item.Version <= old.version {
		return false
	}
	worker, pool, err := l.parse(item.Key, item.Data)
	if err != nil {
		l.refuse(ctx, item, err)
		return l.remove(item.Key, l.clock())
	}
	delete(l.refused, item.Key)
	l.entries[item.Key] = entry{worker: worker, pool: pool, version: item.Version}
	return !had || !old.gone.IsZero() || old.pool != pool || !same(old.worker, worker)
}

func (l *List) refuse(ctx context.Context, item store.Item, err error) {
	if l.refused[item.Key] == 0 {
		events.Log(ctx, l.log, events.WorkerUnread, slog.String("key", item.Key),
			slog.Uint64("version", item.Version), slog.String("err", err.Error()))
	}
	l.refused[item.Key] = item.Version
}

func (l *List) remove(key string, now time.Time) bool {
	e, ok := l.entries[key]
	if !ok || !e.gone.IsZero() {
		return false
	}
	e.gone = now
	e.worker.Unlisted = true
	l.entries[key] = e
	return true
}

// untilRemoval is the time until the grace of a removed entry ends.
func (l *List) untilRemoval(now time.Time) time.Duration {
	left := watchWait
	for _, e := range l.entries {
		if !e.gone.IsZero() {
			left = min(left, max(removalGrace-now.Sub(e.gone), time.Millisecond))
		}
	}
	return left
}

func (l *List) publish(now time.Time, changed bool) {
	for key, e := range l.entries {
		if !e.gone.IsZero() && now.Sub(e.gone) >= removalGrace {
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

// same compares what matters to the scheduler; DrainLeft changes with each report.
func same(a, b scheduler.Worker) bool {
	return a.Address == b.Address && a.DataCentre == b.DataCentre && a.Rack == b.Rack &&
		slices.Equal(a.Labels, b.Labels) && a.Capacity == b.Capacity &&
		a.Draining == b.Draining && a.Unlisted == b.Unlisted && a.Host == b.Host && a.Born == b.Born
}
