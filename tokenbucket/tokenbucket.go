// Package tokenbucket implements a token bucket rate limiter that is refilled over time and by deposits. It reads no
// clock.
package tokenbucket

import "time"

// Bucket holds tokens. The zero value is full at its first Take. It is not safe for concurrent use.
type Bucket struct {
	tokens float64
	last   time.Time
}

// Deposit adds tokens up to limit.
func (b *Bucket) Deposit(tokens, limit float64) {
	b.tokens = min(b.tokens+tokens, limit)
}

// Take removes one token, or returns false if less than one is left. Tokens are added at rate tokens per second up to
// refill; deposited tokens in excess of refill are kept.
func (b *Bucket) Take(now time.Time, rate, refill float64) bool {
	switch {
	case b.last.IsZero():
		b.tokens = max(b.tokens, refill)
	case now.After(b.last) && b.tokens < refill:
		b.tokens = min(b.tokens+rate*now.Sub(b.last).Seconds(), refill)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
