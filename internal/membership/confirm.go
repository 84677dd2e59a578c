package membership

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

// confirmPools reads the owner keys of the pools that this host holds, each in a goroutine.
func (m *Manager) confirmPools(ctx context.Context) {
	for pool, fence := range m.known.Load().held {
		m.calls.Go(func() { m.confirmPool(ctx, pool, fence) })
	}
}

// Confirm confirms the pool by a call that begins now, and reports whether this host holds it with the fencing token.
func (m *Manager) Confirm(ctx context.Context, pool string, fence uint64) bool {
	return m.known.Load().held[pool] == fence && m.confirmPool(ctx, pool, fence)
}

// confirmGained confirms a pool whose acquisition was learned otherwise than by the answer to its write.
func (m *Manager) confirmGained(pool string, fence uint64) {
	if m.confirmation.PoolConfirmedFrom(pool, fence).Equal(time.Unix(0, 0)) {
		m.calls.Go(func() { m.confirmPool(m.runCtx, pool, fence) })
	}
}

// confirmPool confirms the pool if its owner key has the fencing token, and otherwise applies the key's state. It reports
// whether the pool is confirmed. An answer does not count as one for storeSilent, which relies on renewals.
func (m *Manager) confirmPool(ctx context.Context, pool string, fence uint64) bool {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	key := jobkeys.Owner(pool)
	started := m.clock()
	item, err := m.kv.Get(call, key)
	if err != nil {
		return false // the next renewal reads it again
	}
	if item.Version > 0 {
		m.confirmation.ConfirmPool(pool, item.Version, started)
	}
	if item.Version == fence {
		return true
	}
	event := store.Event{Item: item}
	if item.Version == 0 {
		// The revision of the deletion is unknown; this is the earliest possible.
		event = store.Event{Item: store.Item{Key: key, Version: fence + 1}, Deleted: true}
	}
	m.post(ctx, func(context.Context) { m.elector.view.apply(event, fromConfirmation, m.clock()) })
	return false
}
