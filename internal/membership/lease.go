package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobkeys"
	"github.com/agateturn/agateturn/store"
)

const (
	// renewalsPerTTL is the number of renewals of a lease within its time to live.
	renewalsPerTTL = 3
	// maxRenewals is the maximum number of renewals in flight.
	maxRenewals = 4
	// earlyRetries is the maximum number of consecutive failures that are each followed by an early renewal.
	earlyRetries = 2
	// ticksPerPause is the number of ticks of the pause detection within Options.Pause.
	ticksPerPause = 4
)

// newBackoff spreads the retries of one host over time.
func newBackoff() store.Backoff {
	return store.Backoff{Base: 100 * time.Millisecond, Max: 1500 * time.Millisecond}
}

// keepLease acquires and renews leases, one after the other, until ctx ends or the host leaves.
func (m *Manager) keepLease(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.calls.Go(func() {
		select {
		case <-m.stopped:
			cancel()
		case <-ctx.Done():
		}
	})
	backoff := newBackoff()
	for ctx.Err() == nil {
		lease, ttl, err := m.grant(ctx)
		if err != nil {
			_ = backoff.Sleep(ctx) // the loop checks ctx
			continue
		}
		backoff.Reset()
		m.hold(ctx, lease, ttl)
		m.confirmation.Withdraw()
		m.post(ctx, func(context.Context) { m.elector.loseLease(m.clock()) })
	}
}

func (m *Manager) grant(ctx context.Context) (uint64, time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	started := m.clock()
	lease, ttl, err := m.kv.Grant(call, m.opts.LeaseTTL)
	if err != nil {
		return 0, 0, err
	}
	m.recordAnswer()
	m.confirmation.Confirm(started)
	return lease, ttl, nil
}

// hold registers the member under the lease and renews the lease until it is lost or ctx ends.
func (m *Manager) hold(ctx context.Context, lease uint64, ttl time.Duration) {
	events.Log(ctx, m.log, events.LeaseGranted, slog.Uint64("lease", lease), slog.Int64("ttl_ms", ttl.Milliseconds()))
	m.post(ctx, func(context.Context) {
		m.elector.gainLease(lease, m.clock(), m.opts)
	})
	results := make(chan error, maxRenewals)
	inFlight, failures := 0, 0
	interval := min(ttl, m.opts.LeaseTTL) / renewalsPerTTL // storeSilent relies on these renewals
	timer := time.NewTimer(interval)
	defer timer.Stop()
	wake(m.registerNow)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.registerNow:
			m.spawnRegister(ctx, lease)
			continue
		case err := <-results:
			inFlight--
			if store.LeaseLost.Has(err) {
				events.Log(ctx, m.log, events.LeaseLost, slog.Uint64("lease", lease), slog.String("err", err.Error()),
					slog.Int64("store_age_ms", m.storeAge().Milliseconds()))
				return
			}
			failures++
			if err == nil {
				failures = 0
			} else if failures <= earlyRetries {
				timer.Reset(interval/4 + time.Duration(rand.Int64N(int64(interval/4))))
			}
			continue
		case <-m.renewNow:
		case <-timer.C:
		}
		timer.Reset(interval)
		if inFlight < maxRenewals {
			inFlight++
			m.calls.Go(func() { results <- m.renew(ctx, lease) })
			m.confirmPools(ctx)
		}
	}
}

func (m *Manager) renew(ctx context.Context, lease uint64) error {
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	started := m.clock()
	err := m.kv.KeepAlive(call, lease)
	if err == nil {
		m.recordAnswer()
		m.confirmation.Confirm(started)
		wake(m.storeRecovered)
	}
	return err
}

// spawnRegister writes the member key under the lease in a goroutine. A failed write is retried after a backoff.
func (m *Manager) spawnRegister(ctx context.Context, lease uint64) {
	if !m.registering.CompareAndSwap(false, true) {
		return
	}
	m.calls.Go(func() {
		err := m.register(ctx, lease, false)
		m.registering.Store(false)
		if err == nil {
			return
		}
		m.logNotStored(ctx, lease, err)
		backoff := newBackoff()
		if backoff.Sleep(ctx) == nil {
			wake(m.registerNow)
		}
	})
}

func (m *Manager) logNotStored(ctx context.Context, lease uint64, err error) {
	events.Log(ctx, m.log, events.MemberNotStored, slog.Uint64("lease", lease),
		slog.Int64("store_age_ms", m.storeAge().Milliseconds()), slog.String("err", err.Error()))
}

func (m *Manager) register(ctx context.Context, lease uint64, leaving bool) error {
	data, err := proto.Marshal(&pb.JobMember{
		Name: m.self.Name, Incarnation: m.self.Incarnation, PeerAddress: m.self.PeerAddress,
		DataCentre: m.self.DataCentre, Leaving: leaving, CpuMilli: m.self.CPUMilli,
	})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, m.opts.CallTimeout)
	defer cancel()
	key := jobkeys.Member(m.self.Name)
	version, err := m.kv.Commit(call, store.Transaction{Puts: []store.Put{{Key: key, Data: data, Lease: lease}}})
	if err != nil {
		return err
	}
	m.recordAnswer()
	event := store.Event{Item: store.Item{Key: key, Data: data, Version: version, Lease: lease}}
	m.post(ctx, func(context.Context) { m.elector.view.apply(event, fromWrite, m.clock()) })
	return nil
}

// tick detects suspensions of the process. After a suspension it triggers a renewal of the lease at once.
func (m *Manager) tick(ctx context.Context) {
	ticker := time.NewTicker(m.opts.Pause / ticksPerPause)
	defer ticker.Stop()
	for {
		if m.confirmation.Tick(m.clock()) {
			events.Log(ctx, m.log, events.PauseDetected, slog.Int64("store_age_ms", m.storeAge().Milliseconds()))
			wake(m.renewNow)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
