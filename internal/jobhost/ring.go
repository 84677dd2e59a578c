package jobhost

import (
	"cmp"
	"context"
	"slices"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// neighbourCount is how many peers each host tells of new tables.
const neighbourCount = 2

// ring lists the other members by name, beginning after this one and going round.
func (h *Host) ring() []*pb.JobMember {
	self := h.settings.Load().GetJobHost().GetName()
	others := lo.Filter(h.members.Members(), func(m *pb.JobMember, _ int) bool { return m.GetName() != self })
	slices.SortFunc(others, func(a, b *pb.JobMember) int { return cmp.Compare(a.GetName(), b.GetName()) })
	after := lo.CountBy(others, func(m *pb.JobMember) bool { return m.GetName() < self })
	return slices.Concat(others[after:], others[:after])
}

func peerAddresses(members []*pb.JobMember) []string {
	return lo.Map(members, func(m *pb.JobMember, _ int) string { return m.GetPeerAddress() })
}

// neighbours are the peers that this host tells of new tables: the next ones in the ring.
type neighbours struct{ *Host }

// Neighbours returns their addresses.
func (n neighbours) Neighbours() []string {
	return peerAddresses(lo.Subset(n.ring(), 0, neighbourCount))
}

// OfferTable tells a peer of a version of the queues.
func (n neighbours) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	return n.peers.OfferTable(ctx, address, version, raw)
}

// relays are the peers through which this host stores jobs while the store does not serve it.
type relays struct{ *Host }

// Addresses lists the members that stay, in the order of the ring, so that hosts begin with different ones.
func (r relays) Addresses() []string {
	return peerAddresses(lo.Reject(r.ring(), func(m *pb.JobMember, _ int) bool { return m.GetLeaving() }))
}

// StoreJob asks a peer to store a job or a cancellation.
func (r relays) StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult {
	return r.peers.StoreJob(ctx, address, req)
}
