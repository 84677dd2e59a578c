package slots

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// heal ends all faults and all work, and lets the fleet settle on the live members as owners.
func (w *world) heal() {
	for _, n := range w.nodes {
		n.frozen = false
		if n.dead {
			w.removeMember(n.name)
		}
		for len(n.tokens) > 0 {
			w.release(n, 0)
		}
	}
	w.write()
	w.applyAll()
	w.settle()
	w.fleet.NextOwners = &pb.OwnerSet{}
	for _, m := range w.fleet.GetMembers() {
		w.fleet.NextOwners.Owners = append(w.fleet.NextOwners.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
	}
	w.fleet.SettleRevision = w.fleet.GetRevision() + 1
	w.write()
	w.applyAll()
	w.settle()
	w.applyAll()
	w.net = nil
	const rounds = 8
	for range rounds {
		w.round()
	}
}

func (w *world) applyAll() {
	for _, n := range w.live() {
		w.apply(n, w.past[len(w.past)-1])
	}
}

func (w *world) live() []*node {
	var out []*node
	for _, n := range w.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// round lets every live node decide once, and tell every other.
func (w *world) round() {
	w.now = w.now.Add(time.Second)
	for _, n := range w.live() {
		w.setHosts(n, 0, 0)
		n.ledger.Balance(w.now, []*pb.PoolDemand{{Pool: worldPool}}, nil)
		for _, to := range w.live() {
			w.send(n, to)
		}
	}
	for _, m := range w.net {
		w.deliver(w.node(m.to), m.hb)
	}
	w.net = nil
}

// stuck says which slots are not back with their owners.
func (w *world) stuck() string {
	free := 0
	for _, n := range w.live() {
		l := n.ledger
		if l.Lent()+l.Borrowed()+l.Waiting()+l.InUse() > 0 {
			return fmt.Sprintf("%s: lent %d, borrowed %d, waiting %d, in use %d", n.name, l.Lent(), l.Borrowed(), l.Waiting(), l.InUse())
		}
		free += l.FreeSlots(worldPool)
	}
	if len(w.live()) > 0 && free != worldHosts*slotsPerHost {
		return fmt.Sprintf("%d slots are free of %d", free, worldHosts*slotsPerHost)
	}
	return ""
}
