// Package ring holds the bounded queues that join the daemon's duties.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue between goroutines. It is safe for concurrent use.
//
// A full ring never grows and never blocks Offer: the sender learns that it is full and decides what to shed.
type Ring[T any] struct {
	name    string
	items   chan T
	refused atomic.Int64
}

// New returns an empty ring that holds up to size items. The name shows in metrics.
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

// Put adds the item, waiting while the ring is full. It returns ctx's error if that ends first.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items is the receiving end.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len is the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap is the number of items the ring can hold.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Refused counts the offers that met a full ring.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }

// Name is the name given to New.
func (r *Ring[T]) Name() string { return r.name }

// State tells how full a ring is.
type State interface {
	Name() string
	Len() int
	Cap() int
	Refused() int64
}
