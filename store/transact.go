package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Compacted means that the history a watch asked for is gone.
var Compacted = errs.Class("store: history no longer kept; range over the prefix and watch from there")

// Item is one key with its content.
type Item struct {
	Key  string
	Data []byte
	// Version is the store's revision of the last write; 0 means that the key is absent.
	Version uint64
	// Created is the revision of the key's creation.
	Created uint64
	// Lease is 0 for a key without a lease.
	Lease uint64
}

// Event is a change of one key.
type Event struct {
	Item    Item
	Deleted bool
}

// Condition requires that a key has a version; 0 requires that it is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a key, under a lease if it is not 0.
type Put struct {
	Key   string
	Data  []byte
	Lease uint64
}

// MaxTransactionEntries bounds conditions, puts and deletes of one Transaction together.
const MaxTransactionEntries = 32

// Transaction is all or nothing.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// ConflictError is the error of a Transaction whose conditions do not hold. Nothing was written. Conflict.Has is true for it.
type ConflictError struct {
	// Items are the present states of the keys in Conditions.
	Items []Item
}

// Error tells the remedy.
func (e *ConflictError) Error() string {
	return "store: a condition does not hold; decide anew on the items returned"
}

// errCondition makes Conflict.Has true for every ConflictError.
var errCondition = Conflict.New("condition does not hold")

// Unwrap returns an error of class Conflict.
func (e *ConflictError) Unwrap() error { return errCondition }

// Transactor is a store of many keys with transactions, prefix watches and leases.
// All methods may be called concurrently and end when ctx does.
type Transactor interface {
	// Get returns the item; an absent key has Version 0. It is linearizable. Errors: Unavailable.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items below the prefix, and the revision from which to watch.
	// Pages are read one after the other, so it is no snapshot: watch from asOf to learn what changed meanwhile.
	// With stale the items may be seconds old and the call is cheap. Errors: Unavailable.
	Range(ctx context.Context, prefix string, stale bool) (items []Item, asOf uint64, err error)
	// Watch returns the changes below the prefix after a revision, as soon as there is one, or none after wait.
	// Continue from asOf. Errors: Compacted, Unavailable.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, asOf uint64, err error)
	// Commit applies the transaction and returns its revision.
	// Errors: *ConflictError, LeaseLost (no such lease), Unavailable (nothing was written), Unknown.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Grant makes a lease and returns the time to live that applies. Errors: Unavailable, Unknown.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, applied time.Duration, err error)
	// KeepAlive renews a lease; it runs from the arrival of the call. Errors: LeaseLost, Unavailable.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease and removes its keys. Errors: Unavailable.
	Revoke(ctx context.Context, lease uint64) error
}
