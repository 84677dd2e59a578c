package jobstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/agateturn/agateturn/store"
)

const (
	// maxAttempts bounds the calls for one transaction.
	maxAttempts = 3
	// minHedgeDelay and maxHedgeDelay bound how long a call may be unanswered before another is made in parallel.
	minHedgeDelay = 250 * time.Millisecond
	maxHedgeDelay = time.Second
	// hedgeLatencyFactor is the hedge delay as a multiple of the average latency, before the bounds apply.
	hedgeLatencyFactor = 4
	// A rejected call is retried after minRetryDelay plus a random time below retryJitter.
	minRetryDelay = 15 * time.Millisecond
	retryJitter   = 45 * time.Millisecond
	// healthyFor is how long after it last decided a call the store counts as healthy. Only then are rejected calls
	// retried.
	healthyFor = 2 * time.Second
)

// health summarises recent commits to the store. It is safe for concurrent use.
type health struct {
	latency     atomic.Int64 // moving average in nanoseconds
	lastDecided atomic.Int64 // when the store last decided a call, in Unix nanoseconds
}

func (h *health) record(latency time.Duration, now time.Time) {
	old := h.latency.Load()
	h.latency.Store(old + (int64(latency)-old)/4)
	h.lastDecided.Store(now.UnixNano())
}

func (h *health) hedgeDelay() time.Duration {
	return min(max(hedgeLatencyFactor*time.Duration(h.latency.Load()), minHedgeDelay), maxHedgeDelay)
}

func (h *health) healthy(now time.Time) bool {
	return now.UnixNano()-h.lastDecided.Load() < int64(healthyFor)
}

type outcome struct {
	revision uint64
	err      error
}

// attempts are the calls for one transaction.
type attempts struct {
	store    *Store
	results  chan outcome
	started  int
	inFlight int
	// uncertain means that a call was not answered, so that it may take effect later.
	uncertain bool
	lastErr   error
}

// commit commits a transaction. Calls may be repeated, so the conditions or the content of t must make a second effect
// harmless. A call that fails or is not answered soon is repeated, a rejected one only while the store is healthy.
// uncertain means that a call may take effect later, whatever err is.
func (s *Store) commit(ctx context.Context, t store.Transaction) (revision uint64, uncertain bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{store: s, results: make(chan outcome, maxAttempts)}
	a.start(ctx, t)
	timer := time.NewTimer(s.health.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case r := <-a.results:
			a.inFlight--
			if decided(r.err) {
				return r.revision, a.uncertain || a.inFlight > 0, r.err
			}
			delay, retry := a.onFailure(ctx, r.err)
			switch {
			case retry:
				timer.Reset(delay)
			case a.inFlight == 0:
				return 0, a.uncertain, a.finalError()
			}
		case <-timer.C:
			if a.started < maxAttempts {
				a.start(ctx, t)
				timer.Reset(s.health.hedgeDelay())
			}
		}
	}
}

// decided reports whether the store has committed the transaction or found a conflict.
func decided(err error) bool {
	var conflict *store.ConflictError
	return err == nil || errors.As(err, &conflict)
}

func (a *attempts) start(ctx context.Context, t store.Transaction) {
	a.started++
	a.inFlight++
	go func() { // ends with ctx, at the latest when commit returns
		call, cancel := a.store.call(ctx)
		defer cancel()
		began := a.store.clock()
		revision, err := a.store.kv.Commit(call, t)
		if decided(err) {
			now := a.store.clock()
			a.store.health.record(now.Sub(began), now)
		}
		a.results <- outcome{revision, err}
	}()
}

// onFailure records the failure of a call. It returns the delay before another call, and whether to make one.
func (a *attempts) onFailure(ctx context.Context, err error) (time.Duration, bool) {
	a.lastErr = err
	retry := a.started < maxAttempts && ctx.Err() == nil
	if !store.Unavailable.Has(err) {
		a.uncertain = true
		return 0, retry
	}
	return minRetryDelay + time.Duration(rand.Int64N(int64(retryJitter))), retry && a.store.health.healthy(a.store.clock())
}

// finalError returns the error of the transaction.
func (a *attempts) finalError() error { return unknownIf(a.uncertain, a.lastErr) }

// unknownIf returns err as a store.Unknown if an unanswered call may have taken effect or may do so later. That a later call was
// rejected does not make it ineffective.
func unknownIf(uncertain bool, err error) error {
	if err == nil || !uncertain || store.Unknown.Has(err) {
		return err
	}
	return store.Unknown.New("%s", err)
}
