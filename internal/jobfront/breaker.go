package jobfront

import (
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
)

// breaker is a circuit breaker for this entry host's writes to the store. It is safe for concurrent use.
type breaker struct {
	mu sync.Mutex
	// unansweredSince is the time of the first unanswered write since the last answer to a write or a probe; zero if
	// there is none.
	unansweredSince time.Time
	// nextProbe is when the next probe is due.
	nextProbe time.Time
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
}

// recordUnanswered records a write that the store did not answer.
func (b *breaker) recordUnanswered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unansweredSince.IsZero() {
		b.unansweredSince = now
	}
}
