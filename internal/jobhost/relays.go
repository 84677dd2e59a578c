package jobhost

import (
	"context"
	"slices"
	"strings"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// relays are the peers through which this host stores jobs while the store does not serve it.
type relays struct{ *Host }

// Addresses lists the other members, beginning after this one by name, so that hosts begin with different ones.
func (r relays) Addresses() []string {
	self := r.settings.Load().GetJobHost().GetName()
	others := lo.Filter(r.members.Members(), func(m *pb.JobMember, _ int) bool {
		return m.GetName() != self && !m.GetLeaving()
	})
	slices.SortFunc(others, func(a, b *pb.JobMember) int { return strings.Compare(a.GetName(), b.GetName()) })
	after := lo.CountBy(others, func(m *pb.JobMember) bool { return m.GetName() < self })
	return lo.Map(slices.Concat(others[after:], others[:after]), func(m *pb.JobMember, _ int) string {
		return m.GetPeerAddress()
	})
}

// StoreJob asks a peer to store a job or a cancellation.
func (r relays) StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult {
	return r.peers.StoreJob(ctx, address, req)
}
