package idempotency

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// maxEpochs bounds the number of remembered epochs. Dropping the oldest one makes the time of ownership appear shorter,
// which is safe.
const maxEpochs = 256

// epoch is the period of one owner set.
type epoch struct {
	number int
	since  time.Time
	owners *pb.OwnerSet
	// first means that there were no owners before, so that no key was granted before.
	first bool
}

// ownershipHistory records since when an owner has continuously owned its keys.
type ownershipHistory struct {
	self    *pb.Owner
	ownerOf OwnerFunc
	epochs  []epoch // oldest first
	count   int
	last    *pb.Fleet
	// neverOwned means that there were no owners before those of last.
	neverOwned bool
}

// apply applies a newer view of the fleet.
func (h *ownershipHistory) apply(now time.Time, f *pb.Fleet) {
	last := h.last
	h.last = f
	// Before the fleet's first owners nobody can have granted a key.
	h.neverOwned = len(f.GetPreviousOwners().GetOwners()) == 0 && len(last.GetOwners().GetOwners()) == 0
	switch {
	case last == nil:
		h.begin(now, f)
	case sameSet(f.GetOwners(), last.GetOwners()) && sameSet(f.GetPreviousOwners(), last.GetPreviousOwners()):
		// The owners have not changed.
	case sameSet(f.GetPreviousOwners(), last.GetOwners()) && sameSet(f.GetOwners(), last.GetNextOwners()):
		h.begin(now, f)
	default:
		// A change was missed, which happens only to a process that was considered gone. It may have missed others.
		h.epochs = nil
		h.begin(now, f)
	}
}

func (h *ownershipHistory) begin(now time.Time, f *pb.Fleet) {
	h.count++
	h.epochs = append(h.epochs, epoch{number: h.count, since: now, owners: f.GetOwners(), first: h.neverOwned})
	if len(h.epochs) > maxEpochs {
		h.epochs = h.epochs[1:]
	}
}

// forget drops the epochs that ended before the given time.
func (h *ownershipHistory) forget(before time.Time) {
	for len(h.epochs) > 1 && h.epochs[1].since.Before(before) {
		h.epochs = h.epochs[1:]
	}
}

// epochOf returns the epoch since which the owner has owned the key, and false if it doesn't own it now.
func (h *ownershipHistory) epochOf(scoped string) (epoch, bool) {
	var since epoch
	found := false
	for i := len(h.epochs) - 1; i >= 0; i-- {
		owner, ok := h.ownerOf(scoped, h.epochs[i].owners)
		if !ok || !sameOwner(owner, h.self) {
			break
		}
		since = h.epochs[i]
		found = true
	}
	return since, found
}
