package membership

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

// watchSlack is added to the wait of a watch to get its timeout.
const watchSlack = 2 * time.Second

// maxWatchBackoff limits the wait after a failed watch. A successful lease renewal ends the wait early.
const maxWatchBackoff = 5 * time.Second

// waitForStore waits until a lease renewal succeeds, at most for the given time.
func (m *Manager) waitForStore(ctx context.Context, wait time.Duration) {
	select {
	case <-m.storeRecovered: // from before the failure
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.storeRecovered:
	case <-ctx.Done():
	}
}

// watch follows the keys of all hosts.
func (m *Manager) watch(ctx context.Context) {
	backoff := store.Backoff{Base: 100 * time.Millisecond, Max: maxWatchBackoff}
	for ctx.Err() == nil {
		asOf, err := m.readAll(ctx)
		if err != nil {
			m.waitForStore(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		m.follow(ctx, asOf)
	}
}

// readAll resets the view to the state of the store and returns the revision to watch from.
func (m *Manager) readAll(ctx context.Context) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	items, asOf, err := m.kv.Range(call, jobkeys.MembershipPrefix, false)
	if err != nil {
		return 0, err
	}
	m.recordAnswer()
	m.post(ctx, func(context.Context) { m.elector.view.reset(items, asOf, m.clock()) })
	return asOf, nil
}

// follow watches until the history after asOf was compacted or ctx ends.
func (m *Manager) follow(ctx context.Context, asOf uint64) {
	backoff := store.Backoff{Base: 100 * time.Millisecond, Max: maxWatchBackoff}
	for {
		events, next, err := m.watchOnce(ctx, asOf)
		if store.Compacted.Has(err) || ctx.Err() != nil {
			return
		}
		if err != nil {
			m.waitForStore(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		m.recordAnswer()
		asOf = next
		if len(events) == 0 {
			continue
		}
		m.lastEvents.Store(m.clock().UnixNano())
		m.post(ctx, func(context.Context) {
			for _, e := range events {
				m.elector.view.apply(e, fromWatch, m.clock())
			}
		})
	}
}

func (m *Manager) watchOnce(ctx context.Context, after uint64) ([]store.Event, uint64, error) {
	call, cancel := context.WithTimeout(ctx, m.opts.WatchWait+watchSlack)
	defer cancel()
	return m.kv.Watch(call, jobkeys.MembershipPrefix, after, m.opts.WatchWait)
}

// checkWatch checks for missed changes with a stale read, which is cheap, when the watch has returned no events for
// QuietCheck and the store is not silent: the watch may be stalled.
func (m *Manager) checkWatch(ctx context.Context) {
	ticker := time.NewTicker(m.opts.QuietCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if quiet := m.clock().Sub(time.Unix(0, m.lastEvents.Load())); quiet < m.opts.QuietCheck || m.storeSilent() {
			continue
		}
		if m.missed(ctx) {
			_, _ = m.readAll(ctx) // the next check tries again
		}
	}
}

// missed reports whether a stale read finds changes that the watch did not deliver. It returns false if the read fails.
func (m *Manager) missed(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	items, asOf, err := m.kv.Range(call, jobkeys.MembershipPrefix, true)
	if err != nil {
		return false
	}
	m.recordAnswer()
	answer := make(chan bool, 1)
	m.post(ctx, func(context.Context) { answer <- m.elector.view.differs(items, asOf) })
	select {
	case differs := <-answer:
		return differs
	case <-ctx.Done():
		return false
	}
}
