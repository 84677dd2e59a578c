package config

import (
	"fmt"

	"github.com/samber/lo"
)

// execute is a driver of Proposal.
func (n *simNode) execute(p *simProposal, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case StageOn:
			n.stageOn(p, a.Member)
		case Swap:
			n.swap(p)
		case ReadBack:
			n.sim.callStore(n, func() func() {
				cfg := n.sim.stored()
				return func() { n.execute(p, p.Read(n.sim.now, cfg)) }
			}, func() { n.execute(p, p.ReadFailed(n.sim.now)) })
		case ListMembers:
			n.sim.callStore(n, func() func() {
				members := append([]string(nil), n.sim.members...)
				return func() { n.execute(p, p.Listed(n.sim.now, members)) }
			}, func() { n.execute(p, p.ListFailed(n.sim.now)) })
		case Accept:
			n.receiveConfig(p.cfg)
		case Abandon:
			n.abandon(p, a.Member)
		case Done:
			n.sim.endProposal(p.number, p.cfg, a.Outcome)
		}
	}
}

func (n *simNode) stageOn(p *simProposal, member string) {
	s := n.sim
	failed := func() { n.execute(p, p.Unreachable(s.now, member)) }
	peer, found := lo.Find(s.nodes, func(peer *simNode) bool { return peer.identity() == member })
	if !found {
		s.deliver(n, n.incarnation, simTimeout, failed)
		return
	}
	s.callPeer(n, peer, func() func() {
		acknowledged, reason := peer.stager.Stage(s.now, p.cfg, p.id)
		generation := peer.stager.Generation()
		return func() {
			if acknowledged {
				n.execute(p, p.Acked(s.now, member))
				return
			}
			n.execute(p, p.Denied(s.now, member, reason, generation))
		}
	}, failed)
}

func (n *simNode) swap(p *simProposal) {
	s := n.sim
	if s.storeDown || n.storeDisconnected {
		s.deliver(n, n.incarnation, 1, func() { n.execute(p, p.Swapped(s.now, SwapUnavailable)) })
		return
	}
	s.callStore(n, func() func() {
		result := SwapConflict
		if len(s.history) == p.version {
			s.history = append(s.history, simWrite{cfg: p.cfg, writer: p.number})
			result = SwapOK
		}
		return func() { n.execute(p, p.Swapped(s.now, result)) }
	}, func() { n.execute(p, p.Swapped(s.now, SwapUnknown)) })
}

// abandon sends the request once, so that the simulation covers its loss.
func (n *simNode) abandon(p *simProposal, member string) {
	peer, found := lo.Find(n.sim.nodes, func(peer *simNode) bool { return peer.identity() == member })
	if !found {
		return
	}
	n.sim.callPeer(n, peer, func() func() {
		peer.stager.Abandon(n.sim.now, p.cfg.GetChangeId(), p.id)
		return func() {}
	}, func() {})
}

// checkInvariants compares the nodes and the reported outcomes with the history of the store.
func (s *sim) checkInvariants() {
	for _, n := range s.nodes {
		generation := n.current().GetGeneration()
		if generation < n.highestGeneration {
			s.addViolation("reverted", "%s went back from %d to %d", n.identity(), n.highestGeneration, generation)
		}
		n.highestGeneration = max(n.highestGeneration, generation)
		s.checkInForce(n, generation)
	}
	written := map[string]int{}
	for _, w := range s.history {
		written[w.cfg.GetChangeId()]++
		if written[w.cfg.GetChangeId()] > 1 {
			s.addViolation("doubled", "%s was applied twice", w.cfg.GetChangeId())
		}
		if w.writer >= 0 && lo.Contains([]OutcomeKind{Refused, Conflict}, s.records[w.writer].outcome.Kind) {
			s.addViolation("wrong report", "%s was written and reported as %d", w.cfg.GetChangeId(), s.records[w.writer].outcome.Kind)
		}
	}
	for _, r := range s.records {
		if r.outcome.Kind == Accepted && written[r.changeID] == 0 {
			s.addViolation("wrong report", "%s was reported as accepted and is not in the store", r.changeID)
		}
	}
}

// checkInForce allows the bound, twice the bound for a guest, which depends on the bound of another node, and the time
// that messages are in transit.
func (s *sim) checkInForce(n *simNode, generation uint64) {
	allowed := simBound + 2*simDelay*simTick
	if n.stager.guest {
		allowed += simBound
	}
	for _, r := range s.records {
		if r.outcome.Kind == Accepted && s.now.Sub(r.endedAt) > allowed && n.ready() && generation < r.cfg.GetGeneration() {
			s.addViolation("not in force", "%s is ready with generation %d, and %d was accepted", n.identity(), generation, r.cfg.GetGeneration())
		}
	}
}

// addViolation records the first violation of each kind.
func (s *sim) addViolation(kind, format string, args ...any) {
	if !lo.Contains(s.violations, kind) {
		s.violations = append(s.violations, kind, fmt.Sprintf(format, args...))
	}
}
