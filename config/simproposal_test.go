package config

import (
	"fmt"

	"github.com/samber/lo"
)

// act is a driver of Proposal.
func (n *simNode) act(p *simProposal, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case StageOn:
			n.stageOn(p, a.Member)
		case Swap:
			n.swap(p)
		case ReadBack:
			n.sim.callStore(n, func() func() {
				cfg := n.sim.stored()
				return func() { n.act(p, p.Read(n.sim.now, cfg)) }
			}, func() { n.act(p, p.ReadFailed(n.sim.now)) })
		case ListMembers:
			n.sim.callStore(n, func() func() {
				members := append([]string(nil), n.sim.members...)
				return func() { n.act(p, p.Listed(n.sim.now, members)) }
			}, func() { n.act(p, p.ListFailed(n.sim.now)) })
		case Accept:
			n.shown(p.cfg)
		case Abandon:
			n.abandon(p, a.Member)
		case Done:
			n.sim.end(p.number, p.cfg, a.Outcome)
		}
	}
}

func (n *simNode) stageOn(p *simProposal, member string) {
	s := n.sim
	failed := func() { n.act(p, p.Unreachable(s.now, member)) }
	peer, found := lo.Find(s.nodes, func(peer *simNode) bool { return peer.identity() == member })
	if !found {
		s.deliver(n, n.incarnation, simTimeout, failed)
		return
	}
	s.callPeer(n, peer, func() func() {
		held, reason := peer.stager.Stage(s.now, p.cfg, p.id)
		generation := peer.stager.Generation()
		return func() {
			if held {
				n.act(p, p.Acked(s.now, member))
				return
			}
			n.act(p, p.Denied(s.now, member, reason, generation))
		}
	}, failed)
}

func (n *simNode) swap(p *simProposal) {
	s := n.sim
	if s.down || n.storeCut {
		s.deliver(n, n.incarnation, 1, func() { n.act(p, p.Swapped(s.now, SwapUnavailable)) })
		return
	}
	s.callStore(n, func() func() {
		result := SwapConflict
		if len(s.history) == p.version {
			s.history = append(s.history, simWrite{cfg: p.cfg, writer: p.number})
			result = SwapOK
		}
		return func() { n.act(p, p.Swapped(s.now, result)) }
	}, func() { n.act(p, p.Swapped(s.now, SwapUnknown)) })
}

// abandon is told once; a lost one is the worst case.
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

// judge compares what nodes and reports say with what the store holds.
func (s *sim) judge() {
	for _, n := range s.nodes {
		generation := n.current().GetGeneration()
		if generation < n.highest {
			s.fault("reverted", "%s went back from %d to %d", n.identity(), n.highest, generation)
		}
		n.highest = max(n.highest, generation)
		s.judgeInForce(n, generation)
	}
	written := map[string]int{}
	for _, w := range s.history {
		written[w.cfg.GetChangeId()]++
		if written[w.cfg.GetChangeId()] > 1 {
			s.fault("doubled", "%s was applied twice", w.cfg.GetChangeId())
		}
		if w.writer >= 0 && lo.Contains([]OutcomeKind{Refused, Conflict}, s.reports[w.writer].outcome.Kind) {
			s.fault("wrong report", "%s was written and reported as %d", w.cfg.GetChangeId(), s.reports[w.writer].outcome.Kind)
		}
	}
	for _, r := range s.reports {
		if r.outcome.Kind == Accepted && written[r.changeID] == 0 {
			s.fault("wrong report", "%s was reported as accepted and is not in the store", r.changeID)
		}
	}
}

// judgeInForce allows the bound, twice for a guest that relies on another's, and the time a message is under way.
func (s *sim) judgeInForce(n *simNode, generation uint64) {
	allowed := simBound + 2*simDelay*simTick
	if n.stager.guest {
		allowed += simBound
	}
	for _, r := range s.reports {
		if r.outcome.Kind == Accepted && s.now.Sub(r.at) > allowed && n.ready() && generation < r.cfg.GetGeneration() {
			s.fault("not in force", "%s is ready with %d, and %d was accepted", n.identity(), generation, r.cfg.GetGeneration())
		}
	}
}

// fault records the first fault of each kind.
func (s *sim) fault(kind, format string, args ...any) {
	if !lo.Contains(s.faults, kind) {
		s.faults = append(s.faults, kind, fmt.Sprintf(format, args...))
	}
}
