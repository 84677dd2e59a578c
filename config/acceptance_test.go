package config

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const simNodes = 5

// simOp is one thing that happens in a history, and how long the world runs on after it.
type simOp struct {
	kind  string
	node  int
	ticks int
}

var simOps = []string{
	"propose", "propose", "two operators", "repeat", "repeat", "isolate", "split off", "cut store", "heal", "heal",
	"store down", "store up", "pause", "resume", "restart", "restart", "show old",
}

func drawOps(t *rapid.T) []simOp {
	op := rapid.Custom(func(t *rapid.T) simOp {
		return simOp{
			kind:  rapid.SampledFrom(simOps).Draw(t, "kind"),
			node:  rapid.IntRange(0, simNodes-1).Draw(t, "node"),
			ticks: rapid.OneOf(rapid.IntRange(0, 8), rapid.IntRange(0, 60)).Draw(t, "ticks"),
		}
	})
	return rapid.SliceOfN(op, 1, 40).Draw(t, "ops")
}

// apply carries one operation out. Operator's changes are named by their number.
func (s *sim) apply(op simOp) {
	n := s.nodes[op.node]
	change := fmt.Sprintf("change-%d", len(s.reports))
	switch op.kind {
	case "propose":
		n.propose(change)
	case "two operators":
		n.propose(change)
		s.nodes[(op.node+1)%simNodes].propose(change + "-rival")
	case "repeat":
		if len(s.reports) > 0 {
			n.propose(s.reports[len(s.reports)-1].changeID)
		}
	case "isolate":
		n.side, n.storeCut = 1+op.node, true
	case "split off":
		n.side, n.storeCut = 1+simNodes, true
	case "cut store":
		n.storeCut = true
	case "heal":
		n.side, n.storeCut = 0, false
	case "store down", "store up":
		s.down = op.kind == "store down"
	case "pause", "resume":
		n.paused = op.kind == "pause"
	case "restart":
		n.start()
	case "show old":
		n.showOld()
	}
	s.run(op.ticks)
}

// showOld is a store that was restored from a copy, or a peer that lags: less than what the node has in force. Reads
// of the store that lag behind its writes are not part of the platform's contract.
func (n *simNode) showOld() {
	generation := int(n.current().GetGeneration())
	if n.paused || generation < 2 {
		return
	}
	old := n.sim.history[min(generation, len(n.sim.history))-2].cfg
	n.shown(old)
	n.stager.Confirm(n.sim.now, old.GetGeneration())
}

// TestAcceptedStaysInForce runs generated histories. After each, all faults end, and a change must be accepted.
func TestAcceptedStaysInForce(t *testing.T) {
	outcomes := map[OutcomeKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), simNodes, false)
		for _, op := range drawOps(t) {
			s.apply(op)
			assert.Equal(t, len(s.faults), 0, "%v", s.faults)
		}
		s.heal()
		s.nodes[0].propose("last")
		s.run(int(simDeadline/simTick) + simTimeout)
		last := s.reports[len(s.reports)-1].outcome
		assert.Equal(t, last.Kind, Accepted, "%v", last)
		for _, n := range s.nodes {
			assert.Assert(t, n.ready() && n.current().GetChangeId() == "last", "%s: %v", n.identity(), n.current())
		}
		assert.Equal(t, len(s.faults), 0, "%v", s.faults)
		for _, r := range s.reports {
			outcomes[r.outcome.Kind]++
		}
	})
	for kind := Accepted; kind <= Unknown; kind++ {
		assert.Assert(t, outcomes[kind] > 0, "no history ended in outcome %d: %v", kind, outcomes)
	}
	t.Logf("outcomes (0 is a proposer that ended first): %v", outcomes)
}

func (s *sim) heal() {
	s.down, s.loss = false, 0
	for _, n := range s.nodes {
		n.side, n.storeCut, n.paused = 0, false, false
	}
	s.run(2*int(simBound/simTick) + int(simDeadline/simTick))
}

// TestNaiveBreaksEachPromise shows that the judge sees what last writer wins without staging does.
func TestNaiveBreaksEachPromise(t *testing.T) {
	tests := map[string][]simOp{
		"not in force": {{"isolate", 1, 0}, {"propose", 0, 60}},
		"reverted":     {{"propose", 0, 30}, {"show old", 1, 2}},
		"doubled":      {{"propose", 0, 0}, {"cut store", 0, 10}, {"heal", 0, 30}},
	}
	for kind, ops := range tests {
		faults := map[bool]int{}
		for _, naive := range []bool{true, false} {
			for seed := range uint64(20) {
				s := newSim(seed, simNodes, naive)
				for _, op := range ops {
					s.apply(op)
				}
				if slices.Contains(s.faults, kind) {
					faults[naive]++
				}
			}
		}
		assert.Assert(t, faults[true] > 0, "the naive version passes %q", kind)
		assert.Equal(t, faults[false], 0, kind)
		t.Logf("%s: naive %d of 20 seeds, staged %d", kind, faults[true], faults[false])
	}
}

// TestStoreOutageAloneKeepsEveryoneReady covers a proposal whose end is not known while the store is down.
func TestStoreOutageAloneKeepsEveryoneReady(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, simNodes, false)
		s.nodes[0].propose("in doubt")
		s.run(int(seed))
		s.down, s.loss = true, 0
		for range 10 * int(simBound/simTick) {
			s.run(1)
			for _, n := range s.nodes {
				assert.Assert(t, n.ready(), "seed %d: %s", seed, n.identity())
			}
		}
	}
}

// TestCutOffMemberBecomesUnready is the promise's price: it holds a change whose end it cannot learn.
func TestCutOffMemberBecomesUnready(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStager(15 * time.Second)
	s.Accept(now, &pb.Configuration{Generation: 4, ChangeId: "a"})
	held, _ := s.Stage(now, &pb.Configuration{Generation: 5, ChangeId: "b"}, ProposerID("e1/1", 1))
	assert.Assert(t, held)
	_, unready := s.Unsettled(now.Add(15 * time.Second))
	assert.Assert(t, !unready)
	_, unready = s.Unsettled(now.Add(16 * time.Second))
	assert.Assert(t, unready)
	s.Heard(now.Add(16*time.Second), Report{Peer: "e2/1", Generation: 4, Ready: true, Registered: true})
	_, unready = s.Unsettled(now.Add(16 * time.Second))
	assert.Assert(t, unready, "a peer that did not propose it proves nothing")
	s.Abandon(now, "b", ProposerID("e1/1", 1))
	_, unready = s.Unsettled(now.Add(16 * time.Second))
	assert.Assert(t, !unready)
}

func TestStageNamesTheRemedy(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStager(15 * time.Second)
	s.Accept(now, &pb.Configuration{Generation: 4, ChangeId: "a"})
	stage := func(after time.Duration, generation uint64, id, proposer string) string {
		_, reason := s.Stage(now.Add(after), &pb.Configuration{Generation: generation, ChangeId: id}, proposer)
		return reason
	}
	assert.Equal(t, stage(0, 5, "b", "e1/1"), "")
	assert.Equal(t, stage(0, 5, "b", "e1/1"), "")
	assert.Equal(t, stage(0, 4, "a", "e1/1"), "")
	assert.Assert(t, strings.Contains(stage(0, 4, "c", "e2/1"), "generation 4 is proposed and 5 is next; read the configuration again"))
	assert.Assert(t, strings.Contains(stage(0, 6, "c", "e2/1"), "5 is next"))
	assert.Assert(t, strings.Contains(stage(0, 5, "c", "e2/1"), "e1/1 is having another change accepted; wait"))
	assert.Equal(t, stage(16*time.Second, 5, "c", "e2/1"), "")
	assert.Assert(t, strings.Contains(stage(0, 5, "", "e2/1"), "no change_id"))
}
