package fleet

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Proof is the evidence from the platform's list that the entry host of a member is gone.
type Proof struct {
	// Incarnation is the process that the list shows as gone; empty if the list does not name it.
	Incarnation string
	// SeenAt is the time at which the list first showed it as gone.
	SeenAt time.Time
}

// Register adds an entry host, or returns f itself if it is already a member. It replaces another incarnation of the
// name: that process cannot exist any more, since the new one listens at its address. A process registers only at its
// start, and exits when it later finds another incarnation under its name.
func Register(f *pb.Fleet, m *pb.Member) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.Register(m) })
}

// Register is the function Register on a draft.
func (d *Draft) Register(m *pb.Member) error {
	if m.GetName() == "" || m.GetIncarnation() == "" {
		return InvalidMember.New("a member needs a name and an incarnation; set entry_host.name")
	}
	index := d.memberIndex(m.Name)
	if index >= 0 && proto.Equal(d.fleet.Members[index], m) {
		return nil
	}
	d.changed = true
	if index >= 0 {
		d.fleet.Members[index] = proto.CloneOf(m)
		return nil
	}
	d.fleet.Members = append(d.fleet.Members, proto.CloneOf(m))
	sort.Slice(d.fleet.Members, func(i, j int) bool { return d.fleet.Members[i].Name < d.fleet.Members[j].Name })
	return nil
}

// SetLeaving marks a member that has started a planned shutdown. It stays a member until it leaves.
func SetLeaving(f *pb.Fleet, name, incarnation string) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.SetLeaving(name, incarnation) })
}

// SetLeaving is the function SetLeaving on a draft.
func (d *Draft) SetLeaving(name, incarnation string) error {
	index := d.incarnationIndex(name, incarnation)
	if index < 0 {
		return unknownMember(name, incarnation)
	}
	if !d.fleet.Members[index].Leaving {
		d.fleet.Members[index].Leaving = true
		d.changed = true
	}
	return nil
}

// Leave removes a member that shuts down. The member must have no request in flight and no guest. If it is no longer
// a member, Leave returns f itself.
func Leave(f *pb.Fleet, name, incarnation string) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error {
		d.removeMember(d.incarnationIndex(name, incarnation))
		return nil
	})
}

// RemoveGone removes a member that the platform's list shows as gone. More than the pause limit must have passed since
// the list first showed it as gone: a process that was paused for longer than that checks itself before it sends
// anything. An expired lease is no proof. Neither is a list that shows another incarnation, because the list lags and
// that incarnation may be the earlier one. A later incarnation registers itself, which replaces the member.
func RemoveGone(f *pb.Fleet, name, incarnation string, p Proof, r Reports) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.RemoveGone(name, incarnation, p, r) })
}

// RemoveGone is the function RemoveGone on a draft.
func (d *Draft) RemoveGone(name, incarnation string, p Proof, r Reports) error {
	index := d.incarnationIndex(name, incarnation)
	if index < 0 {
		return unknownMember(name, incarnation)
	}
	if p.SeenAt.IsZero() || r.Now.Sub(p.SeenAt) <= r.PauseLimit {
		return NoProof.New("%s/%s has not been listed as gone for %s yet; wait for the platform's list", name, incarnation, r.PauseLimit)
	}
	if !p.covers(incarnation, r) {
		return NoProof.New("%s/%s is not the process that the platform's list shows as gone; wait for the list, or restart the member",
			name, incarnation)
	}
	d.removeMember(index)
	return nil
}

// covers reports whether the proof applies to an incarnation and the incarnation no longer reports. Heartbeats of a
// process that has ended may arrive late. If the list names the incarnation, only heartbeats within the pause limit
// count against the proof. A list that names no incarnation may lag behind the reuse of a name, so it proves something
// only about a process that reported before SeenAt and has not reported since.
func (p Proof) covers(incarnation string, r Reports) bool {
	last, reported := r.Heartbeats[incarnation]
	if p.Incarnation != "" {
		reporting := reported && r.Now.Sub(last.At) <= r.PauseLimit
		return p.Incarnation == incarnation && !reporting
	}
	return reported && last.Since.Before(p.SeenAt) && last.At.Before(p.SeenAt)
}

func (d *Draft) removeMember(index int) {
	if index < 0 {
		return
	}
	d.fleet.Members = append(d.fleet.Members[:index], d.fleet.Members[index+1:]...)
	d.changed = true
}

func (d *Draft) memberIndex(name string) int {
	for i, m := range d.fleet.Members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

func (d *Draft) incarnationIndex(name, incarnation string) int {
	index := d.memberIndex(name)
	if index >= 0 && d.fleet.Members[index].Incarnation != incarnation {
		return -1
	}
	return index
}

func unknownMember(name, incarnation string) error {
	return UnknownMember.New("%s/%s is not a member; list the members and use one of their names", name, incarnation)
}
