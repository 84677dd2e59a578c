package jobfront

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// tripAfter is how long the store must leave writes unanswered before the breaker rejects them.
	tripAfter = 2 * time.Second
	// minUnansweredWait is the least wait after which a write counts as unanswered. A caller that disconnects earlier says
	// nothing about the store.
	minUnansweredWait = 500 * time.Millisecond
	// probeInterval is the time between the reads that probe the store while the breaker rejects writes.
	probeInterval = 300 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxFailureGap is the longest time between two failed writes of one outage.
	maxFailureGap = 6 * time.Second
	// maxOutageRetry bounds the retry delay of callers while the store fails, before retrySpread.
	maxOutageRetry = 4 * time.Second
	// retrySpread is the period over which callers return that were rejected at one time.
	retrySpread = time.Second
)

// outageRetry returns the retry delay of a caller while writes have failed for the given time. It grows with the outage, so that
// the few attempts of a caller outlast it.
func outageRetry(failing time.Duration) time.Duration {
	return min(failing/2, maxOutageRetry) + rand.N(retrySpread)
}

// breaker is a circuit breaker for this entry host's writes to the store. It is safe for concurrent use.
type breaker struct {
	mu sync.Mutex
	// unansweredSince is the time of the first unanswered write since the last answer to a write or a probe; zero if
	// there is none.
	unansweredSince time.Time
	// nextProbe is when the next probe is due.
	nextProbe time.Time
	// failingSince is the time of the first write that failed since the last one that succeeded, and lastFailed that of the
	// latest one; zero if there is none.
	failingSince, lastFailed time.Time
}

// access is the breaker's decision on a write.
type access int

const (
	// accessAllowed: the write is sent to the store.
	accessAllowed access = iota
	// accessSuspect: the write is sent, but the store left recent writes unanswered.
	accessSuspect
	// accessDenied: the write is not sent.
	accessDenied
	// accessProbe: the write is not sent, and a probe is due.
	accessProbe
)

func (b *breaker) admit(now time.Time) access {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.unansweredSince.IsZero():
		return accessAllowed
	case now.Sub(b.unansweredSince) < tripAfter:
		return accessSuspect
	case now.Before(b.nextProbe):
		return accessDenied
	default:
		b.nextProbe = now.Add(probeInterval)
		return accessProbe
	}
}

// recordAnswered records that the store answered a write or a probe.
func (b *breaker) recordAnswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unansweredSince = time.Time{}
	b.failingSince = time.Time{}
}

// recordFailed records a write that failed, and returns for how long writes have failed.
func (b *breaker) recordFailed(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failingSince.IsZero() || now.Sub(b.lastFailed) > maxFailureGap {
		b.failingSince = now
	}
	b.lastFailed = now
	return now.Sub(b.failingSince)
}

// recordUnanswered records a write that the store did not answer.
func (b *breaker) recordUnanswered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
}
