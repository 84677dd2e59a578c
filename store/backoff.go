package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateturn/agateturn/wait"
)

// Backoff computes exponential backoff with full jitter: each wait is uniform between zero and a bound that doubles from
// Base up to Max, so that clients that fail together do not retry together. It is not safe for concurrent use.
type Backoff struct {
	// Base is the upper bound of the first wait and Max that of any wait; both must be positive.
	Base, Max time.Duration
	// Random is the source of the waits; nil uses the global source of math/rand/v2.
	Random *rand.Rand

	bound time.Duration
}

// DefaultBackoff returns the backoff for calls to the store.
func DefaultBackoff() Backoff {
	return Backoff{Base: 200 * time.Millisecond, Max: 5 * time.Second}
}

// Next returns how long to wait before the next retry.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(b.bound*2, b.Base), b.Max)
	if b.Random == nil {
		return time.Duration(rand.Int64N(int64(b.bound)) + 1)
	}
	return time.Duration(b.Random.Int64N(int64(b.bound)) + 1)
}

// Reset restarts the backoff from Base; call it after a success.
func (b *Backoff) Reset() { b.bound = 0 }

// Sleep waits for the duration of Next. It returns the error of ctx if ctx is done first.
func (b *Backoff) Sleep(ctx context.Context) error {
	return wait.For(ctx, b.Next())
}
