package fleet

import (
	"sort"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// SettleOwners advances the owner sets by one step. If the members that are not leaving differ from the owners, they
// become the next owners. When every member and guest has applied the next owners, they become the owners.
func SettleOwners(f *pb.Fleet, r Reports) *pb.Fleet {
	d := NewDraft(f)
	d.SettleOwners(r)
	return d.Fleet()
}

// SettleOwners is the function SettleOwners on a draft. It reports whether anything changed.
func (d *Draft) SettleOwners(r Reports) bool {
	f := d.fleet
	if f.NextOwners != nil {
		return d.finishSettling(r)
	}
	desired := desiredOwners(f)
	if proto.Equal(desired, f.Owners) || (len(desired.Owners) == 0 && f.Owners == nil) {
		return false
	}
	f.NextOwners = desired
	f.SettleRevision = d.revision()
	d.changed = true
	return true
}

func (d *Draft) finishSettling(r Reports) bool {
	f := d.fleet
	if len(Unsettled(f, r)) > 0 {
		return false
	}
	f.PreviousOwners = f.Owners
	f.Owners = f.NextOwners
	f.NextOwners = nil
	d.changed = true
	return true
}

// Unsettled returns the entry hosts that have not applied the next owners yet. It returns nil if there are no next
// owners.
func Unsettled(f *pb.Fleet, r Reports) []Holder {
	if f.GetNextOwners() == nil {
		return nil
	}
	return unreleased(f, f.GetSettleRevision(), "", r)
}

func desiredOwners(f *pb.Fleet) *pb.OwnerSet {
	set := &pb.OwnerSet{}
	for _, m := range f.Members {
		if !m.Leaving {
			set.Owners = append(set.Owners, &pb.Owner{Name: m.Name, Incarnation: m.Incarnation})
		}
	}
	sort.Slice(set.Owners, func(i, j int) bool { return set.Owners[i].Name < set.Owners[j].Name })
	return set
}
