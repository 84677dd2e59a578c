package jobfront

import (
	"sync"
	"time"
)

const (
	// breakAfter is how long writes must be left without answers until they are no longer tried.
	breakAfter = 2 * time.Second
	// unansweredAfter is the least time that a write must have waited: callers who leave earlier tell nothing.
	unansweredAfter = 500 * time.Millisecond
	// probeEvery is how often a read tries then whether the store answers.
	probeEvery = 300 * time.Millisecond
	// probeTimeout bounds such a read.
	probeTimeout = time.Second
)

// breaker watches whether the store answers the writes of this entry host. It is safe for concurrent use.
type breaker struct {
	mu sync.Mutex
	// since is when a write was first left without an answer, with none answered afterwards.
	since time.Time
	probe time.Time
}

// access is what a write may do.
type access int

const (
	// accessOpen: it is tried.
	accessOpen access = iota
	// accessSilent: it is tried, but the store left the last ones without an answer.
	accessSilent
	// accessBroken: it is not tried.
	accessBroken
	// accessProbe: it is not tried, and a probe is due.
	accessProbe
)

func (b *breaker) admit(now time.Time) access {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.since.IsZero():
		return accessOpen
	case now.Sub(b.since) < breakAfter:
		return accessSilent
	case now.Before(b.probe):
		return accessBroken
	default:
		b.probe = now.Add(probeEvery)
		return accessProbe
	}
}

// answered notes a write that the store answered.
func (b *breaker) answered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Time{}
}

// unanswered notes a write without an answer.
func (b *breaker) unanswered(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() {
		b.since = now
	}
}
