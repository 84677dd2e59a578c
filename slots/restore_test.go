package slots

import (
	"fmt"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// restore ends all faults and requests, and lets the fleet settle with the live members as owners.
func (s *simulation) restore() {
	for _, n := range s.nodes {
		n.paused = false
		if n.dead {
			s.removeMember(n.name)
		}
		for len(n.tokens) > 0 {
			s.release(n, 0)
		}
	}
	s.write()
	s.applyAll()
	s.settle()
	s.fleet.NextOwners = &pb.OwnerSet{}
	for _, m := range s.fleet.GetMembers() {
		s.fleet.NextOwners.Owners = append(s.fleet.NextOwners.Owners, &pb.Owner{Name: m.GetName(), Incarnation: m.GetIncarnation()})
	}
	s.fleet.SettleRevision = s.fleet.GetRevision() + 1
	s.write()
	s.applyAll()
	s.settle()
	s.applyAll()
	s.inFlight = nil
	const rounds = 8
	for range rounds {
		s.round()
	}
}

func (s *simulation) applyAll() {
	for _, n := range s.live() {
		s.apply(n, s.revisions[len(s.revisions)-1])
	}
}

func (s *simulation) live() []*node {
	var out []*node
	for _, n := range s.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// round lets every live node balance once and send a heartbeat to every other one.
func (s *simulation) round() {
	s.now = s.now.Add(time.Second)
	for _, n := range s.live() {
		s.setHosts(n, 0, 0)
		n.ledger.Balance(s.now, []*pb.PoolDemand{{Pool: simPool}}, nil)
		for _, to := range s.live() {
			s.send(n, to)
		}
	}
	for _, m := range s.inFlight {
		s.deliver(s.node(m.to), m.hb)
	}
	s.inFlight = nil
}

// unreturned describes the slots that are not free at their owners; it returns "" if there are none.
func (s *simulation) unreturned() string {
	free := 0
	for _, n := range s.live() {
		l := n.ledger
		if l.Lent()+l.Borrowed()+l.Waiting()+l.InUse() > 0 {
			return fmt.Sprintf("%s: lent %d, borrowed %d, waiting %d, in use %d", n.name, l.Lent(), l.Borrowed(), l.Waiting(), l.InUse())
		}
		free += l.FreeSlots(simPool)
	}
	if len(s.live()) > 0 && free != simHosts*slotsPerHost {
		return fmt.Sprintf("%d slots are free of %d", free, simHosts*slotsPerHost)
	}
	return ""
}
