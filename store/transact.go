package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Compacted means that the history requested by a watch is no longer available.
var Compacted = errs.Class("store: history compacted; range over the prefix and watch from the revision of that range")

// Item is a key with its content.
type Item struct {
	Key  string
	Data []byte
	// Version is the store's revision of the last write; 0 means that the key is absent.
	Version uint64
	// Created is the revision at which the key was created.
	Created uint64
	// Lease is the lease to which the key is attached; 0 if there is none.
	Lease uint64
}

// Event is a change of a key.
type Event struct {
	Item    Item
	Deleted bool
}

// Condition requires that a key has the given version; 0 requires that it is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Put writes a key, and attaches it to the lease unless Lease is 0.
type Put struct {
	Key   string
	Data  []byte
	Lease uint64
}

// MaxTransactionEntries limits the total number of conditions, puts and deletes of a Transaction.
const MaxTransactionEntries = 32

// Transaction applies its puts and deletes atomically if all of its conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// ConflictError is returned for a Transaction whose conditions do not hold. Nothing was written. Conflict.Has is true for it.
type ConflictError struct {
	// Items are the current states of the keys in Conditions. Absent keys may be missing, and Items is empty if the states
	// could not be parsed.
	Items []Item
}

// Error implements error; the message names the remedy.
func (e *ConflictError) Error() string {
	return "store: a condition does not hold; decide again based on the returned items"
}

// errCondition makes Conflict.Has true for every ConflictError.
var errCondition = Conflict.New("condition does not hold")

// Unwrap returns an error of class Conflict.
func (e *ConflictError) Unwrap() error { return errCondition }

// Transactor is a key-value store with transactions, prefix watches and leases.
// All methods are safe for concurrent use and return when ctx is done.
type Transactor interface {
	// Get returns the item; an absent key has Version 0. It is linearizable. Errors: Unavailable.
	Get(ctx context.Context, key string) (Item, error)
	// Range returns all items below the prefix, and the revision from which to watch.
	// Pages are read one after the other, so the result is not a snapshot: watch from asOf for changes in the meantime.
	// With stale, the call is cheap and the items may be seconds old. Errors: Unavailable.
	Range(ctx context.Context, prefix string, stale bool) (items []Item, asOf uint64, err error)
	// Watch returns the changes below the prefix after a revision as soon as there are any, or none once wait has passed.
	// The next call continues from asOf. Errors: Compacted, Unavailable.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Event, asOf uint64, err error)
	// Commit applies the transaction and returns its revision.
	// Errors: *ConflictError, LeaseLost (no such lease), Unavailable (nothing was written), Unknown.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Grant creates a lease and returns its effective time to live. Errors: Unavailable, Unknown.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, applied time.Duration, err error)
	// KeepAlive renews a lease; its time to live restarts when the call arrives. Errors: LeaseLost, Unavailable.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes its keys. Errors: Unavailable.
	Revoke(ctx context.Context, lease uint64) error
}
