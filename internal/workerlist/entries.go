package workerlist

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/store"
)

// maxClockLead is how far ahead of this host's clock the start of a worker may lie. Another writer may have left a later one;
// the worker's own entries would then look like those of an earlier incarnation.
const maxClockLead = time.Hour

var errBornAhead = errors.New("the start of the worker lies in the future")

type entry struct {
	worker scheduler.Worker
	pool   string
	// version is the store version of the entry.
	version uint64
	// removedAt is when the entry was found removed, or zero while it exists.
	removedAt time.Time
}

// put adds or updates an entry and reports whether this matters to the scheduler. An entry that cannot be parsed counts as
// removed.
func (l *List) put(ctx context.Context, item store.Item) bool {
	old, had := l.entries[item.Key]
	if had && item.Version <= old.version {
		return false
	}
	worker, pool, err := l.parse(item.Key, item.Data)
	if err == nil && worker.Born > l.clock().Add(maxClockLead).UnixMilli() {
		err = errBornAhead
	}
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

// forget is called when a key is no longer in the registry. It reports whether that matters to the scheduler.
func (l *List) forget(key string, now time.Time) bool {
	delete(l.invalid, key)
	return l.remove(key, now)
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
