package idempotency

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// maxEpochs bounds the remembered owner sets. Forgetting the oldest makes tenures look shorter, which is safe.
const maxEpochs = 256

// epoch is the time during which one owner set held.
type epoch struct {
	number int
	since  time.Time
	owners *pb.OwnerSet
	// first means that there were no owners before, so that no key was granted before.
	first bool
}

// tenure tells since when an owner has owned a key without a break.
type tenure struct {
	self    *pb.Owner
	ownerOf OwnerFunc
	epochs  []epoch // oldest first
	count   int
	last    *pb.Fleet
	// neverOwned means that there were no owners before those of last.
	neverOwned bool
}

// apply takes a newer view of the fleet.
func (t *tenure) apply(now time.Time, f *pb.Fleet) {
	last := t.last
	t.last = f
	// The fleet's first owners ever: nobody can have granted a key before them.
	t.neverOwned = len(f.GetPreviousOwners().GetOwners()) == 0 && len(last.GetOwners().GetOwners()) == 0
	switch {
	case last == nil:
		t.begin(now, f)
	case sameSet(f.GetOwners(), last.GetOwners()) && sameSet(f.GetPreviousOwners(), last.GetPreviousOwners()):
		// Nothing changed hands.
	case sameSet(f.GetPreviousOwners(), last.GetOwners()) && sameSet(f.GetOwners(), last.GetNextOwners()):
		t.begin(now, f)
	default:
		// A change was missed, which befalls only a process that was counted as gone. It may have missed others.
		t.epochs = nil
		t.begin(now, f)
	}
}

func (t *tenure) begin(now time.Time, f *pb.Fleet) {
	t.count++
	t.epochs = append(t.epochs, epoch{number: t.count, since: now, owners: f.GetOwners(), first: t.neverOwned})
	if len(t.epochs) > maxEpochs {
		t.epochs = t.epochs[1:]
	}
}

// forget drops the epochs that ended before the given time.
func (t *tenure) forget(before time.Time) {
	for len(t.epochs) > 1 && t.epochs[1].since.Before(before) {
		t.epochs = t.epochs[1:]
	}
}

// of returns the epoch since which the owner has owned the key; false if it does not own it now.
func (t *tenure) of(hashed string) (epoch, bool) {
	var since epoch
	found := false
	for i := len(t.epochs) - 1; i >= 0; i-- {
		owner, ok := t.ownerOf(hashed, t.epochs[i].owners)
		if !ok || !sameOwner(owner, t.self) {
			break
		}
		since = t.epochs[i]
		found = true
	}
	return since, found
}
