package config

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const testBound = 10 * time.Second

// at is a time in seconds after the start.
func at(seconds int) time.Time { return time.Unix(1000, 0).Add(time.Duration(seconds) * time.Second) }

func generation(number uint64, id string) *pb.Configuration {
	return &pb.Configuration{Generation: number, ChangeId: id}
}

// TestSettlingRules checks for each rule of the Stager whether a member that has staged change b at second 0 is unready
// at second 25, after the steps.
func TestSettlingRules(t *testing.T) {
	b := generation(5, "b")
	first, second := ProposerID("e1/1", 1), ProposerID("e1/1", 2)
	reportOf := func(peer string, ready, registered bool) Report {
		return Report{Peer: peer, Generation: 4, Ready: ready, Registered: registered}
	}
	tests := map[string]struct {
		steps   func(s *Stager)
		unready bool
	}{
		"no report":                  {func(*Stager) {}, true},
		"proposer reports":           {func(s *Stager) { s.PeerReported(at(20), reportOf("e1/1", true, true)) }, false},
		"proposer reports too early": {func(s *Stager) { s.PeerReported(at(14), reportOf("e1/1", true, true)) }, true},
		"next incarnation of the proposer reports": {
			func(s *Stager) { s.PeerReported(at(20), reportOf("e1/2", true, true)) }, true,
		},
		"store confirms":                {func(s *Stager) { s.Confirm(at(20), 4) }, false},
		"store has an older generation": {func(s *Stager) { s.Confirm(at(20), 3) }, true},
		"store has a newer generation":  {func(s *Stager) { s.Confirm(at(20), 5) }, true},
		"accepted":                      {func(s *Stager) { s.Accept(at(20), b) }, false},
		"a repeat of the request":       {func(s *Stager) { s.Stage(at(20), b, first) }, true},
		"abandoned":                     {func(s *Stager) { s.Abandon(at(1), "b", first) }, false},
		"another attempt abandoned":     {func(s *Stager) { s.Abandon(at(1), "b", second) }, true},
		"first attempt abandoned late": {
			func(s *Stager) { s.Stage(at(1), b, second); s.Abandon(at(2), "b", first) }, true,
		},
		"later competing change abandoned": {
			func(s *Stager) { s.Stage(at(12), generation(5, "c"), "e2/1"); s.Abandon(at(13), "c", "e2/1") }, true,
		},
		"proposer gone": {func(s *Stager) { s.Gone(at(1), "e1/1") }, true},
		"proposer gone, store read too early": {
			func(s *Stager) { s.Gone(at(5), "e1/1"); s.Confirm(at(14), 4) }, true,
		},
		"proposer gone, store read later": {
			func(s *Stager) { s.Gone(at(1), "e1/1"); s.Confirm(at(12), 4) }, false,
		},
		"member reports to a guest": {
			func(s *Stager) {
				s.Abandon(at(1), "b", first)
				s.JoinAsGuest(at(1))
				s.PeerReported(at(20), reportOf("e2/1", true, true))
			}, false,
		},
		"unready member reports to a guest": {
			func(s *Stager) {
				s.Abandon(at(1), "b", first)
				s.JoinAsGuest(at(1))
				s.PeerReported(at(20), reportOf("e2/1", false, true))
			}, true,
		},
		"guest reports to a guest": {
			func(s *Stager) {
				s.Abandon(at(1), "b", first)
				s.JoinAsGuest(at(1))
				s.PeerReported(at(20), reportOf("e2/1", true, false))
			}, true,
		},
		"guest registers": {
			func(s *Stager) { s.Abandon(at(1), "b", first); s.JoinAsGuest(at(1)); s.Registered() }, false,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := NewStager(testBound)
			s.Accept(at(0), generation(4, "a"))
			acknowledged, reason := s.Stage(at(0), b, first)
			assert.Assert(t, acknowledged, reason)
			test.steps(s)
			unsettled, unready := s.Unsettled(at(25))
			assert.Equal(t, unready, test.unready, "unsettled for %s", unsettled)
		})
	}
}

// TestConfirmationAsksNewMembers restarts e2 between its acknowledgement and the swap. The new incarnation has not
// staged the change and must be asked.
func TestConfirmationAsksNewMembers(t *testing.T) {
	p := NewProposal(generation(5, "b"), []string{"e1/1", "e2/1"}, at(30), NewStager(testBound).ChangeAt)
	assert.DeepEqual(t, p.Start(at(0)), []Action{{Kind: StageOn, Member: "e1/1"}})
	assert.DeepEqual(t, p.Acked(at(1), "e1/1"), []Action{{Kind: StageOn, Member: "e2/1"}})
	assert.DeepEqual(t, p.Acked(at(1), "e2/1"), []Action{{Kind: Swap}})
	assert.DeepEqual(t, p.Swapped(at(2), SwapOK), []Action{{Kind: Accept}, {Kind: ListMembers}})
	assert.DeepEqual(t, p.Listed(at(2), []string{"e1/1", "e2/2"}), []Action{{Kind: StageOn, Member: "e2/2"}})
	assert.DeepEqual(t, p.Unreachable(at(3), "e2/2"), []Action{{Kind: StageOn, Member: "e2/2"}})
	assert.Equal(t, len(p.Tick(at(30))), 0)
	ended := p.Tick(at(31))
	assert.Equal(t, len(ended), 1, "a change that was written is never abandoned: %v", ended)
	assert.Equal(t, ended[0].Outcome.Kind, Unknown)
	assert.DeepEqual(t, ended[0].Outcome.Members, []string{"e2/2"})
}

// TestPausedProposerWritesNothing reports the last acknowledgement after the deadline, as a paused proposer does.
func TestPausedProposerWritesNothing(t *testing.T) {
	p := NewProposal(generation(5, "b"), []string{"e1/1"}, at(30), NewStager(testBound).ChangeAt)
	p.Start(at(0))
	actions := p.Acked(at(31), "e1/1")
	assert.DeepEqual(t, actions[0], Action{Kind: Abandon, Member: "e1/1"})
	assert.Equal(t, actions[1].Outcome.Kind, Refused)
}

func ExampleProposal() {
	members := map[string]*Stager{"e1/1": NewStager(testBound), "e2/1": NewStager(testBound)}
	change := generation(1, "first")
	p := NewProposal(change, []string{"e1/1", "e2/1"}, at(30), members["e1/1"].ChangeAt)
	actions := p.Start(at(0))
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		switch next.Kind {
		case StageOn:
			fmt.Println("stage on", next.Member)
			members[next.Member].Stage(at(1), change, ProposerID("e1/1", 1))
			actions = append(actions, p.Acked(at(1), next.Member)...)
		case Swap:
			fmt.Println("swap")
			actions = append(actions, p.Swapped(at(2), SwapOK)...)
		case Accept:
			members["e1/1"].Accept(at(2), change)
		case ListMembers:
			actions = append(actions, p.Listed(at(2), []string{"e1/1", "e2/1"})...)
		case Done:
			fmt.Println("accepted:", next.Outcome.Kind == Accepted)
		default:
			fmt.Println("no action fails in this example, so the store is not read back and nothing is abandoned")
		}
	}
	// Output:
	// stage on e1/1
	// stage on e2/1
	// swap
	// accepted: true
}
