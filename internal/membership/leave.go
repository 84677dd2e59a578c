package membership

import (
	"context"
	"log/slog"

	catalogue "github.com/agateturn/agateturn/events"
)

// Leave prepares a planned stop. It marks the member as leaving. Then, for each pool, it calls handover, which records
// what the next owner needs, and releases the pool, so that another host acquires it at once. If the release fails, it
// asks peers to take the pool. Finally it revokes the lease. Run must still be running. Afterwards this host acquires no
// pools.
func (m *Manager) Leave(ctx context.Context, handover func(pool string)) error {
	lease, held, err := m.beginLeave(ctx)
	if err != nil {
		return err
	}
	if lease == 0 {
		m.stop.Do(func() { close(m.stopped) })
		return nil
	}
	if err := m.register(ctx, lease, true); err != nil {
		m.logNotStored(ctx, lease, err)
	}
	for _, pool := range sortedKeys(held) {
		handover(pool)
		m.freePool(ctx, pool, held[pool])
	}
	m.stop.Do(func() { close(m.stopped) })
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	err = m.kv.Revoke(call, lease)
	return m.do(ctx, func(e *elector) { e.lease = 0 }, err)
}

// beginLeave stops this host from acquiring pools and returns its lease and the fencing tokens of its pools.
func (m *Manager) beginLeave(ctx context.Context) (lease uint64, held map[string]uint64, err error) {
	err = m.do(ctx, func(e *elector) {
		e.leaving = true
		lease, held = e.lease, e.held
	}, nil)
	if err != nil {
		return 0, nil, err // the function may still run
	}
	return lease, held, nil
}

// freePool deletes the owner key of the pool. If that fails, it asks peers to take the pool.
func (m *Manager) freePool(ctx context.Context, pool string, fence uint64) {
	events, err := m.release(ctx, pool, fence)
	if err != nil && m.askPeers(ctx, pool, fence) {
		return
	}
	if err != nil {
		catalogue.Log(ctx, m.log, catalogue.PoolsNotHandedOver, slog.String("pool", pool), slog.Uint64("fence", fence),
			slog.String("err", err.Error()))
		return
	}
	apply := func(e *elector) {
		for _, event := range events {
			e.view.apply(event, fromWrite, m.clock())
		}
	}
	_ = m.do(ctx, apply, nil) // the next call reports an ended ctx
}

// do runs f on the elector's goroutine and waits for it. It returns err once f has run, or the error of ctx or of Run's
// context if that ended first; f may still run then.
func (m *Manager) do(ctx context.Context, f func(*elector), err error) error {
	done := make(chan struct{})
	m.post(ctx, func(context.Context) {
		f(&m.elector)
		close(done)
	})
	select {
	case <-done:
		return err
	case <-m.runCtx.Done():
		return m.runCtx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}
