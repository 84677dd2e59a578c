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
	// hedgeLeast and hedgeMost bound how long a call may be without an answer before the next is made beside it.
	hedgeLeast = 250 * time.Millisecond
	hedgeMost  = time.Second
	// hedgeLatencies is how many usual latencies that is between the bounds.
	hedgeLatencies = 4
	// retryLeast and retrySpread are the wait before a refused call is made again.
	retryLeast  = 15 * time.Millisecond
	retrySpread = 45 * time.Millisecond
	// healthyFor is how long after its last success the store is taken to refuse only now and then.
	healthyFor = 2 * time.Second
)

// health is what recent commits tell about the store. It is safe for concurrent use.
type health struct {
	latency atomic.Int64 // nanoseconds, smoothed
	success atomic.Int64 // Unix nanoseconds
}

func (h *health) note(latency time.Duration, now time.Time) {
	old := h.latency.Load()
	h.latency.Store(old + (int64(latency)-old)/4)
	h.success.Store(now.UnixNano())
}

func (h *health) hedgeAfter() time.Duration {
	return min(max(hedgeLatencies*time.Duration(h.latency.Load()), hedgeLeast), hedgeMost)
}

func (h *health) healthy(now time.Time) bool {
	return now.UnixNano()-h.success.Load() < int64(healthyFor)
}

type outcome struct {
	revision uint64
	err      error
}

// attempts are the calls for one transaction.
type attempts struct {
	store   *Store
	results chan outcome
	made    int
	waiting int
	// doubt means that a call was not answered, so that it may take effect later.
	doubt bool
	last  error
}

// commit commits a transaction that may be repeated: its conditions or its content make a second effect harmless. A call
// that is not answered soon, or refused, is made again. doubt means that a call may take effect later, whatever err is.
func (s *Store) commit(ctx context.Context, t store.Transaction) (revision uint64, doubt bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{store: s, results: make(chan outcome, maxAttempts)}
	a.start(ctx, t)
	timer := time.NewTimer(s.health.hedgeAfter())
	defer timer.Stop()
	for {
		select {
		case r := <-a.results:
			a.waiting--
			if decided(r.err) {
				return r.revision, a.doubt || a.waiting > 0, r.err
			}
			wait, again := a.failed(ctx, r.err)
			switch {
			case again:
				timer.Reset(wait)
			case a.waiting == 0:
				return 0, a.doubt, a.verdict()
			}
		case <-timer.C:
			if a.made < maxAttempts {
				a.start(ctx, t)
				timer.Reset(s.health.hedgeAfter())
			}
		}
	}
}

func decided(err error) bool {
	var conflict *store.ConflictError
	return err == nil || errors.As(err, &conflict)
}

func (a *attempts) start(ctx context.Context, t store.Transaction) {
	a.made++
	a.waiting++
	go func() { // it ends with ctx, at the latest when commit returns
		call, cancel := a.store.call(ctx)
		defer cancel()
		began := a.store.clock()
		revision, err := a.store.kv.Commit(call, t)
		if decided(err) {
			now := a.store.clock()
			a.store.health.note(now.Sub(began), now)
		}
		a.results <- outcome{revision, err}
	}()
}

// failed notes a call's failure and tells whether and when to make another.
func (a *attempts) failed(ctx context.Context, err error) (time.Duration, bool) {
	a.last = err
	again := a.made < maxAttempts && ctx.Err() == nil
	if !store.Unavailable.Has(err) {
		a.doubt = true
		return 0, again
	}
	return retryLeast + time.Duration(rand.Int64N(int64(retrySpread))), again && a.store.health.healthy(a.store.clock())
}

// verdict is of one class: a refused call after one without an answer does not make the transaction a refused one.
func (a *attempts) verdict() error {
	if a.doubt && !store.Unknown.Has(a.last) {
		return store.Unknown.New("%s", a.last)
	}
	return a.last
}
