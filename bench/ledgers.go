package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/slots"
)

// ledgers is the strategy of package slots: home slots, with loans or without.
type ledgers struct {
	x     *simulation
	loans bool
	fleet *pb.Fleet
	nodes [entryHosts]*ledgerNode
}

// ledgerNode is the state of one entry host.
type ledgerNode struct {
	ledger   *slots.Ledger
	peers    map[string]slots.PeerDemand
	sequence uint64
	used     map[string]int
	// applied is the fleet revision applied last; peerApplied holds the revisions that the peers reported as applied.
	applied     uint64
	peerApplied map[int]uint64
	// lastQueued marks, by peer, the pools that had queued requests in the last heartbeat to it.
	lastQueued [entryHosts]map[string]bool
	// sentAt is when the last heartbeat to each peer was sent.
	sentAt [entryHosts]time.Time
}

// earlyHeartbeatGap is the shortest time between two heartbeats to a peer, unless the second is a regular one.
const earlyHeartbeatGap = 50 * time.Millisecond

// homeSlots returns the strategy in which each entry host uses its own slots only.
func homeSlots(x *simulation) allocator { return newLedgers(x, false) }

// homeSlotsAndLoans returns the strategy that agateturnd uses.
func homeSlotsAndLoans(x *simulation) allocator { return newLedgers(x, true) }

func newLedgers(x *simulation, loans bool) *ledgers {
	w := &ledgers{x: x, loans: loans, fleet: &pb.Fleet{Revision: 1}}
	for i := range entryHosts {
		w.fleet.Members = append(w.fleet.Members, &pb.Member{Name: entryHostName(i), Incarnation: incarnation(i)})
	}
	w.fleet.Owners = w.liveOwners()
	for i := range w.nodes {
		n := &ledgerNode{
			ledger:      slots.NewLedger(&pb.Owner{Name: entryHostName(i), Incarnation: incarnation(i)}),
			peers:       map[string]slots.PeerDemand{},
			used:        map[string]int{},
			peerApplied: map[int]uint64{},
		}
		w.nodes[i] = n
		n.ledger.SetHosts(x.deployment.hosts())
		w.apply(i, w.fleet)
	}
	return w
}

// incarnation returns an identifier of the length that real incarnations have, since message sizes are measured.
func incarnation(i int) string { return fmt.Sprintf("%08x-0000-4000-8000-000000000000", i) }

func (w *ledgers) liveOwners() *pb.OwnerSet {
	set := &pb.OwnerSet{}
	for _, i := range w.x.live() {
		set.Owners = append(set.Owners, &pb.Owner{Name: entryHostName(i), Incarnation: incarnation(i)})
	}
	return set
}

func (w *ledgers) apply(node int, f *pb.Fleet) {
	w.nodes[node].ledger.SetOwners(f)
	w.nodes[node].applied = f.GetRevision()
}

func (w *ledgers) free(node int, pool string) int { return w.nodes[node].ledger.FreeSlots(pool) }

// take takes a slot of the host that has the most free slots.
func (w *ledgers) take(node int, pool string) slot {
	var best slots.HostFree
	for _, h := range w.nodes[node].ledger.Free(pool) {
		if h.Free > best.Free {
			best = h
		}
	}
	t, err := w.nodes[node].ledger.Take(best.Host)
	if err != nil {
		panic(err)
	}
	w.nodes[node].used[pool]++
	return slot{host: best.Host, token: t}
}

func (w *ledgers) release(node int, pool string, s slot) {
	w.nodes[node].ledger.Release(s.token.(slots.Token))
	w.nodes[node].used[pool]--
}

func (w *ledgers) onQueued(int, string) {}

func (w *ledgers) decide(node int) {
	w.settleOwners(node)
	if w.loans {
		n := w.nodes[node]
		n.ledger.Balance(w.x.now, w.demand(node), n.peers)
		w.updateReachable(node)
	}
	w.sendEarlyHeartbeats(node)
}

// updateReachable sets, in the entry host's queue, the number of slots of each pool that the entry host could obtain.
func (w *ledgers) updateReachable(node int) {
	n := w.nodes[node]
	for _, p := range w.x.deployment.Pools {
		reachable := n.ledger.Reachable(w.x.now, p.Name, n.peers, func(string) bool { return true })
		w.x.entries[node].queue.SetReachable(p.Name, reachable)
	}
}

// sendEarlyHeartbeats sends a heartbeat ahead of schedule to each peer for which the ledger has pending changes.
func (w *ledgers) sendEarlyHeartbeats(node int) {
	for _, to := range w.x.live() {
		n := w.nodes[node]
		if to != node && n.ledger.Pending(entryHostName(to)) && w.x.now.Sub(n.sentAt[to]) >= earlyHeartbeatGap {
			w.heartbeat(node, to, true)
		}
	}
}

// demand returns the entry host's demand, with its current number of idle slots.
func (w *ledgers) demand(node int) []*pb.PoolDemand {
	ds := w.x.entries[node].queue.Demand(w.x.now)
	for _, d := range ds {
		d.Idle = int64(w.nodes[node].ledger.FreeSlots(d.GetPool()))
	}
	return ds
}

// sendHeartbeats sends a heartbeat to every peer.
func (w *ledgers) sendHeartbeats(node int) {
	for _, to := range w.x.live() {
		if to != node {
			w.heartbeat(node, to, false)
		}
	}
}

// heartbeat sends a heartbeat. An early one omits the data that only regular ones refresh: the teams' usage, and the
// demand of pools that had no queued requests and still have none.
func (w *ledgers) heartbeat(node, to int, early bool) {
	n := w.nodes[node]
	n.sequence++
	n.sentAt[to] = w.x.now
	hb := &pb.Heartbeat{
		Name:             entryHostName(node),
		Incarnation:      incarnation(node),
		Sequence:         n.sequence,
		FleetRevision:    n.applied,
		ConfigGeneration: 1,
		Demand:           w.demandFor(node, to, early),
		Slots:            n.ledger.Outgoing(entryHostName(to)),
		Ready:            true,
		DataCentre:       w.x.deployment.DataCentres[node%len(w.x.deployment.DataCentres)],
	}
	if !early {
		hb.TeamUsage = w.x.entries[node].queue.TeamUsage()
	}
	w.x.send(node, to, hb, func() { w.receive(node, to, hb) })
}

// demandFor returns the demand that a heartbeat to a peer carries.
func (w *ledgers) demandFor(node, to int, early bool) []*pb.PoolDemand {
	last := w.nodes[node].lastQueued[to]
	queued := map[string]bool{}
	out := lo.Filter(w.demand(node), func(d *pb.PoolDemand, _ int) bool {
		queued[d.GetPool()] = d.GetQueued() > 0
		return !early || d.GetQueued() > 0 || last[d.GetPool()]
	})
	w.nodes[node].lastQueued[to] = queued
	return out
}

// receive handles a heartbeat, and decides at once.
func (w *ledgers) receive(from, to int, hb *pb.Heartbeat) {
	n := w.nodes[to]
	n.peerApplied[from] = hb.GetFleetRevision()
	n.ledger.Incoming(hb)
	known := lo.KeyBy(n.peers[hb.GetName()].Pools, (*pb.PoolDemand).GetPool)
	maps.Copy(known, lo.KeyBy(hb.GetDemand(), (*pb.PoolDemand).GetPool))
	pools := lo.Values(known)
	slices.SortFunc(pools, func(a, b *pb.PoolDemand) int { return strings.Compare(a.GetPool(), b.GetPool()) })
	n.peers[hb.GetName()] = slots.PeerDemand{Pools: pools, DataCentre: hb.GetDataCentre(), Heard: w.x.now}
	w.decide(to)
	w.x.pumpAll(to)
}

// onDeath makes the controller remove the entry host from the fleet once it is proved gone, and set the next owners.
func (w *ledgers) onDeath(node int) {
	w.x.after(deathProofDelay, func() {
		var members []*pb.Member
		for _, m := range w.fleet.GetMembers() {
			if m.GetName() != entryHostName(node) {
				members = append(members, m)
			}
		}
		w.fleet.Members = members
		w.fleet.NextOwners = w.liveOwners()
		w.fleet.SettleRevision = w.fleet.GetRevision() + 1
		w.write()
	})
}

// settleOwners makes the next owners current once every member has reported to the controller that it has applied them.
func (w *ledgers) settleOwners(controller int) {
	live := w.x.live()
	if w.fleet.GetNextOwners() == nil || controller != live[0] {
		return
	}
	n := w.nodes[controller]
	n.peerApplied[controller] = n.applied
	for _, i := range live {
		if n.peerApplied[i] < w.fleet.GetSettleRevision() {
			return
		}
	}
	w.fleet.Owners, w.fleet.NextOwners = w.fleet.GetNextOwners(), nil
	w.write()
}

// write commits the fleet; each entry host applies it after a random delay of up to maxApplyDelay.
func (w *ledgers) write() {
	w.fleet.Revision++
	f := proto.CloneOf(w.fleet)
	for _, i := range w.x.live() {
		w.x.after(time.Duration(w.x.rng.Int64N(int64(maxApplyDelay))), func() {
			w.x.onEntry(i, func() { w.apply(i, f) })
		})
	}
}

func (w *ledgers) usable(pool string) int {
	n := 0
	for _, i := range w.x.live() {
		n += w.nodes[i].ledger.FreeSlots(pool) + w.nodes[i].used[pool]
	}
	return n
}
