// Package store is what agateturn needs of the platform's key-value service.
//
// The service has compare-and-swap, leases and watches. Implementations are in
// the packages below it. All methods may be called concurrently.
package store

import (
	"context"

	"github.com/zeebo/errs"
)

// Error kinds. Their messages name the remedy. Test for them with Kind.Has(err).
var (
	// Conflict means that the value changed since it was read. Nothing was written.
	Conflict = errs.Class("store: value changed since it was read; read it again and decide anew")
	// Unavailable means that the store could not be reached and nothing was written.
	Unavailable = errs.Class("store: not reachable; nothing was written; retry with backoff")
	// Unknown means that the answer was lost: the write may have taken effect.
	Unknown = errs.Class("store: answer lost; read back the write's identity to learn whether it took effect")
	// LeaseLost means that the lease is no longer held.
	LeaseLost = errs.Class("store: lease lost; acquire it again before acting as its holder")
)

// Value is one key's content.
type Value struct {
	Data []byte
	// Version identifies this content for CompareAndSwap. It is 0 for an absent key and grows with each write.
	Version uint64
}

// KV reads, swaps and watches single keys.
type KV interface {
	// Get returns the key's value; an absent key is Value{} without an error.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key still has the given version (0: absent) and returns the new version.
	// A service that does not tell the new version may return a number that lies between the old and the new one;
	// no content ever had it, so a swap with it is a Conflict and a Wait with it returns at once.
	// Errors: Conflict, Unavailable, Unknown.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error)
	// Wait returns when the key's version differs from the given one, or with the same value when ctx's
	// watch period (its deadline) ends; it may do the latter somewhat earlier. A cancelled ctx is Unavailable.
	// It counts as one call on the store for as long as it waits. Errors: Unavailable.
	Wait(ctx context.Context, key string, version uint64) (Value, error)
}

// Leases grants exclusive, expiring ownership of keys. A lease is for liveness only; safety comes from CompareAndSwap.
type Leases interface {
	// Acquire takes the key for holder if nobody has it. It returns a Lease, or Conflict naming the present holder.
	// While the lease lasts the key's content is holder; afterwards the key is absent. So KV.Get tells who holds it
	// and KV.Wait tells when it becomes free. Other errors: Unavailable, Unknown (it frees itself by lapsing).
	Acquire(ctx context.Context, key, holder string) (Lease, error)
}

// Lease is held until it lapses or is released.
type Lease interface {
	// Renew extends the lease. Errors: LeaseLost, Unavailable.
	Renew(ctx context.Context) error
	// Release gives the lease up at once.
	Release(ctx context.Context) error
}
