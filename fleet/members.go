package fleet

import (
	"sort"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"google.golang.org/protobuf/proto"
)

// Proof is what the platform's list says of a member's entry host that it shows gone.
type Proof struct {
	// Incarnation is the process that the list shows gone; empty if the list does not tell.
	Incarnation string
	// SeenAt is when the list was first seen to show it gone.
	SeenAt time.Time
}

// Register adds an entry host, or returns f itself if it is there. Another incarnation of the name is replaced: its
// process cannot be there any more, since the new one listens at its address. A process registers only at its start, and
// exits when it finds its name taken by another incarnation later.
func Register(f *pb.Fleet, m *pb.Member) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.Register(m) })
}

// Register is the function Register on a draft.
func (d *Draft) Register(m *pb.Member) error {
	if m.GetName() == "" || m.GetIncarnation() == "" {
		return InvalidMember.New("a member needs a name and an incarnation; set entry_host.name")
	}
	at := d.member(m.Name)
	if at >= 0 && proto.Equal(d.fleet.Members[at], m) {
		return nil
	}
	d.changed = true
	if at >= 0 {
		d.fleet.Members[at] = proto.CloneOf(m)
		return nil
	}
	d.fleet.Members = append(d.fleet.Members, proto.CloneOf(m))
	sort.Slice(d.fleet.Members, func(i, j int) bool { return d.fleet.Members[i].Name < d.fleet.Members[j].Name })
	return nil
}

// SetLeaving marks a member that has begun a planned stop; it stays a member until it leaves.
func SetLeaving(f *pb.Fleet, name, incarnation string) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.SetLeaving(name, incarnation) })
}

// SetLeaving is the function SetLeaving on a draft.
func (d *Draft) SetLeaving(name, incarnation string) error {
	at := d.memberAt(name, incarnation)
	if at < 0 {
		return unknownMember(name, incarnation)
	}
	if !d.fleet.Members[at].Leaving {
		d.fleet.Members[at].Leaving = true
		d.changed = true
	}
	return nil
}

// Leave removes a member that stops by itself. It must hold no request and have no guest any more. A member that is not there has left
// already: f itself is returned.
func Leave(f *pb.Fleet, name, incarnation string) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error {
		d.removeMember(d.memberAt(name, incarnation))
		return nil
	})
}

// RemoveGone removes a member that the platform's list shows gone, once the pause limit has passed since that was seen: a
// process that was only paused checks itself before it sends anything after a longer pause. A lapsed lease is no proof,
// nor is a list that shows another incarnation: the list lags, so that one may be the earlier one. A later incarnation
// registers itself, which replaces the member.
func RemoveGone(f *pb.Fleet, name, incarnation string, p Proof, r Reports) (*pb.Fleet, error) {
	return edit(f, func(d *Draft) error { return d.RemoveGone(name, incarnation, p, r) })
}

// RemoveGone is the function RemoveGone on a draft.
func (d *Draft) RemoveGone(name, incarnation string, p Proof, r Reports) error {
	at := d.memberAt(name, incarnation)
	if at < 0 {
		return unknownMember(name, incarnation)
	}
	if p.SeenAt.IsZero() || r.Now.Sub(p.SeenAt) <= r.PauseLimit {
		return NoProof.New("%s/%s was not seen gone for %s yet; wait for the platform's list", name, incarnation, r.PauseLimit)
	}
	if !p.concerns(incarnation, r) {
		return NoProof.New("%s/%s is not the process that the platform's list shows gone; wait for the list, or start the member again",
			name, incarnation)
	}
	d.removeMember(at)
	return nil
}

// concerns says whether the proof is about an incarnation that is silent. A heartbeat of the dead may come late, so where
// the list names the incarnation only those of the last moments count. A list that names none may lag behind a name that
// was given anew: it counts only against a process that was heard before, and never since.
func (p Proof) concerns(incarnation string, r Reports) bool {
	last, heard := r.Heartbeats[incarnation]
	if p.Incarnation != "" {
		speaks := heard && r.Now.Sub(last.At) <= r.PauseLimit
		return p.Incarnation == incarnation && !speaks
	}
	return heard && last.Since.Before(p.SeenAt) && last.At.Before(p.SeenAt)
}

func (d *Draft) removeMember(at int) {
	if at < 0 {
		return
	}
	d.fleet.Members = append(d.fleet.Members[:at], d.fleet.Members[at+1:]...)
	d.changed = true
}

func (d *Draft) member(name string) int {
	for i, m := range d.fleet.Members {
		if m.Name == name {
			return i
		}
	}
	return -1
}

func (d *Draft) memberAt(name, incarnation string) int {
	at := d.member(name)
	if at >= 0 && d.fleet.Members[at].Incarnation != incarnation {
		return -1
	}
	return at
}

func unknownMember(name, incarnation string) error {
	return UnknownMember.New("%s/%s is not a member; list the members and use a name from there", name, incarnation)
}
