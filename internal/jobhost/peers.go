package jobhost

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/tablefollow"
)

// gossipFanout is the number of peers to which each host offers new tables.
const gossipFanout = 2

// otherMembers returns the other members sorted by name as a ring, starting with the one after this host.
func (h *Host) otherMembers() []*pb.JobMember {
	self := h.settings.Load().GetJobHost().GetName()
	others := lo.Filter(h.members.Members(), func(m *pb.JobMember, _ int) bool { return m.GetName() != self })
	slices.SortFunc(others, func(a, b *pb.JobMember) int { return cmp.Compare(a.GetName(), b.GetName()) })
	after := lo.CountBy(others, func(m *pb.JobMember) bool { return m.GetName() < self })
	return slices.Concat(others[after:], others[:after])
}

func peerAddresses(members []*pb.JobMember) []string {
	return lo.Map(members, func(m *pb.JobMember, _ int) string { return m.GetPeerAddress() })
}

// gossipPeers are the peers to which this host offers new tables: the next ones in the ring.
type gossipPeers struct{ *Host }

// Neighbours returns the addresses of the peers.
func (n gossipPeers) Neighbours() []string {
	return peerAddresses(lo.Subset(n.otherMembers(), 0, gossipFanout))
}

// OfferTable offers a version of the queues to a peer.
func (n gossipPeers) OfferTable(ctx context.Context, address string, version int64, raw []byte) (int64, error) {
	return n.peers.OfferTable(ctx, address, version, raw)
}

// confirmers are the peers that can confirm the table of queues.
type confirmers struct{ *Host }

// Others returns the addresses of the other members, the next one in the ring first.
func (c confirmers) Others() []string { return peerAddresses(c.otherMembers()) }

// AskTable asks a peer for the version that it uses.
func (c confirmers) AskTable(ctx context.Context, address string, version int64, sendRaw bool) (tablefollow.Confirmation, error) {
	answer, err := c.peers.AskTable(ctx, address, version, sendRaw)
	return tablefollow.Confirmation{
		Version: answer.GetVersion(), Raw: answer.GetRaw(), Confirmed: answer.GetConfirmed(),
		Age: time.Duration(answer.GetConfirmedMs()) * time.Millisecond,
	}, err
}

// relays are the peers through which this host stores jobs while it cannot reach the store.
type relays struct{ *Host }

// Addresses returns the addresses of the members that are not leaving, in ring order, so that hosts start with different
// ones.
func (r relays) Addresses() []string {
	return peerAddresses(lo.Reject(r.otherMembers(), func(m *pb.JobMember, _ int) bool { return m.GetLeaving() }))
}

// StoreJob sends a job or a cancellation to a peer, which stores it.
func (r relays) StoreJob(ctx context.Context, address string, req *pb.StoreJobRequest) pb.StoreResult {
	return r.peers.StoreJob(ctx, address, req)
}
