// Package idempotency ensures that the request of each idempotency key runs at most once.
//
// Every key has one owner among the entry hosts, determined by hashing over the fleet's owner set. The owner remembers
// the keys that it has granted and grants none twice. This state is lost with its process. After a change of owners, a
// key that an earlier owner may have granted is therefore answered "unknown" and not granted until it is too old to be
// repeated.
//
// A caller may repeat a key within Limits.Window of its first use. Keys that are UUIDs of version 7 carry their
// creation time, so repeats after the window are rejected, and new keys are granted immediately after a change of
// owners. Other new keys cannot be distinguished from repeats until the window has passed.
package idempotency

import (
	"crypto/sha256"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Limits bounds an Owner.
type Limits struct {
	// MaxKeys is the maximum number of keys remembered at once.
	MaxKeys int
	// Window is the time within which a caller may repeat a key.
	Window time.Duration
	// MaxDelay is the maximum time from a request's arrival to the use of the answer to its claim, including queueing.
	// A claimer ends an attempt that is TooLate with the outcome "not run". Default 30 s.
	MaxDelay time.Duration
	// ClockSkew is the maximum difference between the clocks of two entry hosts. New keys of callers with a larger
	// clock error may be rejected, but still run at most once.
	ClockSkew time.Duration
}

// DefaultMaxDelay is the default of Limits.MaxDelay.
const DefaultMaxDelay = 30 * time.Second

func (l Limits) withDefaults() Limits {
	if l.MaxDelay <= 0 {
		l.MaxDelay = DefaultMaxDelay
	}
	return l
}

// TooLate reports whether a claimer may no longer use a granted claim for a request that arrived at the given time.
// After that the owner may have forgotten an earlier run of the key before it granted this claim.
func (l Limits) TooLate(now, arrived time.Time) bool {
	return now.Sub(arrived) > l.withDefaults().MaxDelay
}

// retention returns the time for which a key without a creation time may still be repeated.
func (l Limits) retention() time.Duration {
	return l.Window + l.MaxDelay
}

// OwnerFunc returns the owner of a key among the set, and false if the set is empty. The result must depend only on the
// key and the owners' names, so that a later incarnation owns the same keys as an earlier one.
type OwnerFunc func(key string, set *pb.OwnerSet) (*pb.Owner, bool)

// Locate returns the owner of a service's key in the given view of the fleet. The owner is nil if there is none. Closed
// means that the owner of the key is changing: nobody may run it, and the caller should retry shortly.
//
// A member that has applied a fleet's settle revision must use that fleet or a later one for every claim that it begins
// afterwards.
func Locate(service, key string, f *pb.Fleet, ownerOf OwnerFunc) (owner *pb.Owner, closed bool) {
	scoped := scopedKey(service, key)
	owner, ok := ownerOf(scoped, f.GetOwners())
	if !ok {
		return nil, true
	}
	if len(f.GetNextOwners().GetOwners()) == 0 {
		return owner, false
	}
	next, _ := ownerOf(scoped, f.GetNextOwners())
	return owner, !sameOwner(owner, next)
}

// scopedKey returns the key qualified by its service. It is hashed to find the owner of the key.
func scopedKey(service, key string) string {
	return service + "\x00" + key
}

// keyID identifies a remembered key in constant space.
type keyID [sha256.Size]byte

func idOf(service, key string) keyID {
	return sha256.Sum256([]byte(scopedKey(service, key)))
}

func sameOwner(a, b *pb.Owner) bool {
	return a.GetName() == b.GetName() && a.GetIncarnation() == b.GetIncarnation()
}

func sameSet(a, b *pb.OwnerSet) bool {
	if len(a.GetOwners()) != len(b.GetOwners()) {
		return false
	}
	for i, owner := range a.GetOwners() {
		if !sameOwner(owner, b.GetOwners()[i]) {
			return false
		}
	}
	return true
}
