// Package ring provides the bounded queues between the goroutines of a daemon.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. It is safe for concurrent use.
//
// A ring never grows, and a full one does not block Offer: the sender sees that it is full and decides what to shed.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Int64
}

// New returns an empty ring that holds up to size items. The name appears in metrics.
func New[T any](name string, size int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, size)}
}

// Offer adds the item and reports true, or reports false when the ring is full.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds the item and waits while the ring is full. It returns the error of ctx if that ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel from which items are received.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items in the ring.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the maximum number of items in the ring.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Refused returns the number of calls of Offer that failed because the ring was full.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Name returns the name passed to New.
func (r *Ring[T]) Name() string { return r.name }

// State describes how full a ring is.
type State interface {
	Name() string
	Len() int
	Cap() int
	Refused() int64
}
