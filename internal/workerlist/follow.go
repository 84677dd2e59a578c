package workerlist

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/store"
)

// watchAnswer is the answer of one watch.
type watchAnswer struct {
	events []store.Event
	asOf   uint64
	err    error
}

// watch watches the registry once. It gives up the watch if a reading beside it shows that it has missed changes.
func (l *List) watch(ctx context.Context) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan watchAnswer, 1)
	after := l.asOf
	go func() {
		var a watchAnswer
		a.events, a.asOf, a.err = l.kv.Watch(call, l.prefix, after, watchWait)
		answers <- a
	}()
	timer := time.NewTimer(l.untilDue())
	defer timer.Stop()
	for {
		select {
		case a := <-answers:
			return l.handleAnswer(ctx, a)
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		stalled, err := l.checkQuiet(ctx)
		if err != nil || stalled {
			return err
		}
		timer.Reset(l.untilDue())
	}
}

func (l *List) handleAnswer(ctx context.Context, a watchAnswer) error {
	if store.Compacted.Has(a.err) {
		l.logLost(ctx, a.err.Error())
		l.asOf = 0
		return nil
	}
	if a.err != nil {
		return a.err
	}
	if len(a.events) > 0 {
		l.recordEvent(l.clock())
		l.logBack(ctx, a.asOf)
	}
	l.apply(ctx, a.events)
	l.asOf = max(l.asOf, a.asOf)
	return nil
}

// recordEvent records that the watch has returned events.
func (l *List) recordEvent(now time.Time) {
	interval := min(now.Sub(l.lastEvent), maxQuietLimit)
	l.meanInterval += time.Duration(intervalWeight * float64(interval-l.meanInterval))
	l.lastEvent, l.quiet = now, l.quietLimit()
}

func (l *List) quietLimit() time.Duration {
	return min(max(quietFactor*l.meanInterval, minQuietLimit), maxQuietLimit)
}

// untilDue returns the time until the grace period of a removed entry ends or the registry is to be read beside the watch.
func (l *List) untilDue() time.Duration {
	now := l.clock()
	return max(min(l.untilRemoval(now), l.lastEvent.Add(l.quiet).Sub(now)), time.Millisecond)
}

// checkQuiet publishes entries whose grace period has ended. If the watch has been quiet for too long, it reads the registry
// and reports whether the watch has missed changes.
func (l *List) checkQuiet(ctx context.Context) (stalled bool, err error) {
	now := l.clock()
	l.publish(now, false)
	if now.Sub(l.lastEvent) < l.quiet {
		return false, nil
	}
	before := l.asOf
	changed, err := l.read(ctx)
	if err != nil {
		return false, err
	}
	if changed {
		l.logLost(ctx, "changes were read that the watch did not show")
		l.lastEvent, l.quiet = now, l.quietLimit()
		return true, nil
	}
	// The watch goes on from where it began: its events up to the reading's revision are ignored.
	l.asOf = max(before, l.asOf)
	l.lastEvent, l.quiet = now, min(2*l.quiet, maxQuietLimit)
	return false, nil
}

// read updates the entries from the whole registry and reports whether any of them was new, changed or gone. Its pages are
// no snapshot, so it neither replaces nor removes entries that are newer than the oldest page.
func (l *List) read(ctx context.Context) (changed bool, err error) {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	items, asOf, err := l.kv.Range(call, l.prefix, false)
	if err != nil {
		return false, err
	}
	now := l.clock()
	first := l.asOf == 0
	relevant := false
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		seen[item.Key] = true
		changed = changed || item.Version > max(l.entries[item.Key].version, l.invalid[item.Key])
		relevant = l.put(ctx, item) || relevant
	}
	for key, e := range l.entries {
		if !seen[key] && e.version <= asOf && l.remove(key, now) {
			changed, relevant = true, true
		}
	}
	maps.DeleteFunc(l.invalid, func(key string, version uint64) bool { return !seen[key] && version <= asOf })
	l.asOf = max(l.asOf, asOf)
	l.publish(now, relevant || first)
	return changed, nil
}

// apply applies the events that are newer than the last reading.
func (l *List) apply(ctx context.Context, changes []store.Event) {
	changed := false
	now := l.clock()
	for _, e := range changes {
		switch {
		case e.Item.Version <= l.asOf:
		case e.Deleted:
			changed = l.forget(e.Item.Key, now) || changed
		default:
			changed = l.put(ctx, e.Item) || changed
		}
	}
	l.publish(now, changed)
}

// logLost logs that the watch no longer shows changes, once until it does again.
func (l *List) logLost(ctx context.Context, reason string) {
	if !l.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	l.lostAt = l.lastEvent
	events.Log(ctx, l.log, events.RegistryUnwatched, slog.Uint64("version", l.asOf), slog.Int("entries", len(l.entries)),
		slog.Int64("age_ms", l.clock().Sub(l.lastEvent).Milliseconds()), slog.String("reason", reason))
}

func (l *List) logBack(ctx context.Context, asOf uint64) {
	if l.lostAt.IsZero() {
		return
	}
	events.Log(ctx, l.log, events.RegistryWatched, slog.Uint64("version", asOf), slog.Int("entries", len(l.entries)),
		slog.Int64("age_ms", l.clock().Sub(l.lostAt).Milliseconds()))
	l.lostAt = time.Time{}
}
