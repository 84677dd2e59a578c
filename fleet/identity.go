package fleet

import (
	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Process is one process of a member: a pb.Member, a pb.Owner or a pb.Heartbeat.
type Process interface {
	GetName() string
	GetIncarnation() string
}

// Identity returns the identity of one process of a member: its name and its incarnation, separated by a slash.
func Identity[P Process](p P) string { return p.GetName() + "/" + p.GetIncarnation() }

// HasMember reports whether the fleet holds this process of a member.
func HasMember[P Process](f *pb.Fleet, p P) bool {
	return lo.SomeBy(f.GetMembers(), func(m *pb.Member) bool {
		return m.GetName() == p.GetName() && m.GetIncarnation() == p.GetIncarnation()
	})
}
