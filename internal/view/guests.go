package view

import (
	"sort"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// An entry host that starts while the store is down becomes the guest of a member, its sponsor. The sponsor lists its
// guests in every heartbeat, and the controller counts the sponsor's release of a host only together with those of its
// guests. A guest serves while it receives heartbeats from its sponsor. Once the store is available again it registers
// and is no longer a guest.

// guest is an entry host that a member vouches for.
type guest struct {
	member *pb.Member
	// predecessor is the incarnation that the fleet listed under the guest's name when the guest was added; empty for none.
	predecessor string
	// since is when the guest was added.
	since time.Time
	// matured is set once the guest was added longer than the pause limit ago; its predecessor is then excluded.
	matured bool
}

// GuestBook holds guests by name. A guest stays in it until the fleet lists the guest itself or another incarnation of
// its name than the predecessor: it may hold slots and requests until then.
type GuestBook map[string]guest

// Add adds a guest and reports whether it is new.
func (b GuestBook) Add(now time.Time, f *pb.Fleet, m *pb.Member) bool {
	if b[m.GetName()].member.GetIncarnation() == m.GetIncarnation() || fleet.HasMember(f, m) {
		return false
	}
	b[m.GetName()] = guest{member: m, predecessor: incarnationOf(f, m.GetName()), since: now}
	return true
}

// holds reports whether the incarnation m is a guest.
func (b GuestBook) holds(m *pb.Member) bool {
	g, known := b[m.GetName()]
	return known && g.member.GetIncarnation() == m.GetIncarnation()
}

// Prune removes the guests that the fleet lists, or whose name it lists with another incarnation than the predecessor.
func (b GuestBook) Prune(f *pb.Fleet) {
	for name, g := range b {
		current := incarnationOf(f, name)
		if current != "" && current != g.predecessor {
			delete(b, name)
		}
	}
}

// markMatured marks the guests added before the given time as matured and reports whether any mark is new.
func (b GuestBook) markMatured(before time.Time) bool {
	changed := false
	for name, g := range b {
		if !g.matured && g.since.Before(before) {
			g.matured = true
			b[name] = g
			changed = true
		}
	}
	return changed
}

// Members returns the guests sorted by name.
func (b GuestBook) Members() []*pb.Member {
	members := lo.MapToSlice(b, func(_ string, g guest) *pb.Member { return g.member })
	sort.Slice(members, func(i, j int) bool { return members[i].GetName() < members[j].GetName() })
	return members
}

// extend returns the fleet with the guests added to its members. The predecessor of a guest added before the given time is
// excluded: the guest listens at the predecessor's address, so the predecessor's process is gone.
func (b GuestBook) extend(before time.Time, f *pb.Fleet) *pb.Fleet {
	if len(b) == 0 || f == nil {
		return f
	}
	extended := proto.CloneOf(f)
	extended.Members = lo.Reject(extended.Members, func(m *pb.Member, _ int) bool {
		g, replaced := b[m.GetName()]
		return replaced && g.predecessor == m.GetIncarnation() && g.since.Before(before)
	})
	extended.Members = append(extended.Members, b.Members()...)
	return extended
}

func incarnationOf(f *pb.Fleet, name string) string {
	m, _ := lo.Find(f.GetMembers(), func(m *pb.Member) bool { return m.GetName() == name })
	return m.GetIncarnation()
}
