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

// simOp is one operation of a history, and the number of ticks that the simulation runs after it.
type simOp struct {
	kind  string
	node  int
	ticks int
}

var simOps = []string{
	"propose", "propose", "two operators", "repeat", "repeat", "isolate", "partition off", "disconnect store", "reconnect", "reconnect",
	"store down", "store up", "pause", "resume", "restart", "restart", "show stale",
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

// apply executes one operation. The changes of operators are named by their number.
func (s *sim) apply(op simOp) {
	n := s.nodes[op.node]
	change := fmt.Sprintf("change-%d", len(s.records))
	switch op.kind {
	case "propose":
		n.propose(change)
	case "two operators":
		n.propose(change)
		s.nodes[(op.node+1)%simNodes].propose(change + "-rival")
	case "repeat":
		if len(s.records) > 0 {
			n.propose(s.records[len(s.records)-1].changeID)
		}
	case "isolate":
		n.partition, n.storeDisconnected = 1+op.node, true
	case "partition off":
		n.partition, n.storeDisconnected = 1+simNodes, true
	case "disconnect store":
		n.storeDisconnected = true
	case "reconnect":
		n.partition, n.storeDisconnected = 0, false
	case "store down", "store up":
		s.storeDown = op.kind == "store down"
	case "pause", "resume":
		n.paused = op.kind == "pause"
	case "restart":
		n.start()
	case "show stale":
		n.receiveStale()
	}
	s.run(op.ticks)
}

// receiveStale gives a node an earlier configuration than the one in force, as a store that was restored from a backup
// or a lagging peer does. Stale reads of the store itself are excluded by the platform's contract.
func (n *simNode) receiveStale() {
	generation := int(n.current().GetGeneration())
	if n.paused || generation < 2 {
		return
	}
	old := n.sim.history[min(generation, len(n.sim.history))-2].cfg
	n.receiveConfig(old)
	n.stager.Confirm(n.sim.now, old.GetGeneration())
}

// TestAcceptedStaysInForce runs generated histories. After each history all faults end, and a new change must then be
// accepted by every node.
func TestAcceptedStaysInForce(t *testing.T) {
	outcomes := map[OutcomeKind]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), simNodes, false)
		for _, op := range drawOps(t) {
			s.apply(op)
			assert.Equal(t, len(s.violations), 0, "%v", s.violations)
		}
		s.endFaults()
		s.nodes[0].propose("last")
		s.run(int(simDeadline/simTick) + simTimeout)
		last := s.records[len(s.records)-1].outcome
		assert.Equal(t, last.Kind, Accepted, "%v", last)
		for _, n := range s.nodes {
			assert.Assert(t, n.ready() && n.current().GetChangeId() == "last", "%s: %v", n.identity(), n.current())
		}
		assert.Equal(t, len(s.violations), 0, "%v", s.violations)
		for _, r := range s.records {
			outcomes[r.outcome.Kind]++
		}
	})
	for kind := Accepted; kind <= Unknown; kind++ {
		assert.Assert(t, outcomes[kind] > 0, "no history ended in outcome %d: %v", kind, outcomes)
	}
	t.Logf("outcomes (0 is a proposer that ended first): %v", outcomes)
}

func (s *sim) endFaults() {
	s.storeDown, s.loss = false, 0
	for _, n := range s.nodes {
		n.partition, n.storeDisconnected, n.paused = 0, false, false
	}
	s.run(2*int(simBound/simTick) + int(simDeadline/simTick))
}

// TestLastWriterWinsViolatesGuarantees checks that the simulation detects the violations of a baseline without staging,
// in which the last writer wins.
func TestLastWriterWinsViolatesGuarantees(t *testing.T) {
	tests := map[string][]simOp{
		"not in force": {{"isolate", 1, 0}, {"propose", 0, 60}},
		"reverted":     {{"propose", 0, 30}, {"show stale", 1, 2}},
		"doubled":      {{"propose", 0, 0}, {"disconnect store", 0, 10}, {"reconnect", 0, 30}},
	}
	for kind, ops := range tests {
		violations := map[bool]int{}
		for _, baseline := range []bool{true, false} {
			for seed := range uint64(20) {
				s := newSim(seed, simNodes, baseline)
				for _, op := range ops {
					s.apply(op)
				}
				if slices.Contains(s.violations, kind) {
					violations[baseline]++
				}
			}
		}
		assert.Assert(t, violations[true] > 0, "the baseline does not violate %q", kind)
		assert.Equal(t, violations[false], 0, kind)
		t.Logf("%s: baseline %d of 20 seeds, staged %d", kind, violations[true], violations[false])
	}
}

// TestStoreOutageAloneKeepsMembersReady has a proposal whose outcome is unknown while the store is down.
func TestStoreOutageAloneKeepsMembersReady(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, simNodes, false)
		s.nodes[0].propose("in doubt")
		s.run(int(seed))
		s.storeDown, s.loss = true, 0
		for range 10 * int(simBound/simTick) {
			s.run(1)
			for _, n := range s.nodes {
				assert.Assert(t, n.ready(), "seed %d: %s", seed, n.identity())
			}
		}
	}
}

// TestIsolatedMemberBecomesUnready checks that a member becomes unready if it has staged a change whose outcome it
// cannot learn. The guarantee of Stager requires this.
func TestIsolatedMemberBecomesUnready(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewStager(15 * time.Second)
	s.Accept(now, &pb.Configuration{Generation: 4, ChangeId: "a"})
	acknowledged, _ := s.Stage(now, &pb.Configuration{Generation: 5, ChangeId: "b"}, ProposerID("e1/1", 1))
	assert.Assert(t, acknowledged)
	_, unready := s.Unsettled(now.Add(15 * time.Second))
	assert.Assert(t, !unready)
	_, unready = s.Unsettled(now.Add(16 * time.Second))
	assert.Assert(t, unready)
	s.PeerReported(now.Add(16*time.Second), Report{Peer: "e2/1", Generation: 4, Ready: true, Registered: true})
	_, unready = s.Unsettled(now.Add(16 * time.Second))
	assert.Assert(t, unready, "a report of a peer that did not propose the change proves nothing")
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
	assert.Assert(t, strings.Contains(stage(0, 5, "c", "e2/1"), "e1/1 is proposing another change; wait"))
	assert.Equal(t, stage(16*time.Second, 5, "c", "e2/1"), "")
	assert.Assert(t, strings.Contains(stage(0, 5, "", "e2/1"), "no change_id"))
}
