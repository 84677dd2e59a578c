// Package store defines the interfaces of the platform's key-value service that agateturn uses.
//
// The service offers compare-and-swap, leases and watches. Implementations are in
// the packages below and in package platform. All methods are safe for concurrent use.
package store

import (
	"context"

	"github.com/zeebo/errs"
)

// Error classes. Their messages name the remedy. Test for them with Class.Has(err).
var (
	// Conflict means that the value has changed since it was read. Nothing was written.
	Conflict = errs.Class("store: value changed since it was read; read it again and decide anew")
	// Unavailable means that the store could not be reached and nothing was written.
	Unavailable = errs.Class("store: not reachable; nothing was written; retry with backoff")
	// Unknown means that the outcome of a write is unknown: the answer was lost and the write may have taken effect.
	Unknown = errs.Class("store: answer lost; read back the write's identity to learn whether it took effect")
	// LeaseLost means that the lease is no longer held.
	LeaseLost = errs.Class("store: lease lost; acquire it again before acting as its holder")
)

// Value is the content of a key.
type Value struct {
	Data []byte
	// Version identifies this content for CompareAndSwap. It is 0 for an absent key and increases with each write.
	Version uint64
}

// KV reads, swaps and watches individual keys.
type KV interface {
	// Get returns the key's value, or Value{} without an error if the key is absent.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key still has the given version (0: absent) and returns the new version.
	// If the service does not report the new version, the result may be a number between the old and the new one. No
	// content ever has this version, so a swap with it is a Conflict and a Wait with it returns immediately.
	// Errors: Conflict, Unavailable, Unknown.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error)
	// Wait returns the value when the key's version differs from the given one, or the unchanged value at the deadline
	// of ctx or somewhat earlier. It counts as one call to the store, however long it waits.
	// Errors: Unavailable (also if ctx is cancelled).
	Wait(ctx context.Context, key string, version uint64) (Value, error)
}

// Leases grants exclusive, expiring ownership of keys. Leases provide liveness only; safety comes from CompareAndSwap.
type Leases interface {
	// Acquire acquires the key for holder unless it is held; then it returns a Conflict, which names the holder if known.
	// During the lease the key's content is holder; afterwards the key is absent. KV.Get thus returns the current holder,
	// and KV.Wait returns when the key becomes free. Other errors: Unavailable, Unknown (the lease may exist until it expires).
	Acquire(ctx context.Context, key, holder string) (Lease, error)
}

// Lease is held until it expires or is released.
type Lease interface {
	// Renew extends the lease. Errors: LeaseLost, Unavailable.
	Renew(ctx context.Context) error
	// Release ends the lease immediately.
	Release(ctx context.Context) error
}
