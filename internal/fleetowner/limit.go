package fleetowner

import (
	"context"
	"sync"
	"time"

	"github.com/agateturn/agateturn/wait"
)

// burstShare is the share of a second's calls that may be sent at once after an idle time.
const burstShare = 0.25

// limiter is a rate limiter that spaces calls evenly, except for short bursts. It is safe for concurrent use.
type limiter struct {
	interval time.Duration
	burst    time.Duration
	mu       sync.Mutex
	next     time.Time
}

func newLimiter(perSecond float64) *limiter {
	return &limiter{
		interval: time.Duration(float64(time.Second) / max(perSecond, 1)),
		burst:    time.Duration(burstShare * float64(time.Second)),
	}
}

// wait returns when the next call may be sent, or with ctx's error.
func (l *limiter) wait(ctx context.Context) error {
	l.mu.Lock()
	now := time.Now()
	if earliest := now.Add(-l.burst); l.next.Before(earliest) {
		l.next = earliest
	}
	at := l.next
	l.next = at.Add(l.interval)
	l.mu.Unlock()
	return wait.For(ctx, at.Sub(now))
}
