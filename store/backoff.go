package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/agateturn/agateturn/wait"
)

// Backoff spreads retries: each wait is uniform between zero and a bound that doubles from Base up to Max ("full
// jitter"), so that clients that fail together do not come back together. Not safe for concurrent use.
type Backoff struct {
	// Base is the bound of the first wait and Max of the longest; both above 0.
	Base, Max time.Duration
	// Random draws the waits; nil uses the process's own source.
	Random *rand.Rand

	bound time.Duration
}

// DefaultBackoff returns the backoff for calls on the store.
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

// Reset starts again from Base; call it after a success.
func (b *Backoff) Reset() { b.bound = 0 }

// Sleep waits for Next. It returns ctx's error if ctx ends first.
func (b *Backoff) Sleep(ctx context.Context) error {
	return wait.For(ctx, b.Next())
}
