package idempotency_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/idempotency"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	m.Run()
}

// simpleStore remembers the keys that it has granted, but not since when it has owned them.
type simpleStore map[string]string // attempt by key

func (m simpleStore) SetFleet(time.Time, *pb.Fleet) {}

func (m simpleStore) Claim(_ time.Time, req *pb.ClaimRequest) *pb.ClaimResponse {
	if _, ok := m[req.GetKey()]; ok {
		return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_RUNNING}
	}
	m[req.GetKey()] = req.GetAttempt()
	return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_GRANTED}
}

func (m simpleStore) Finish(_ time.Time, req *pb.FinishRequest) {
	if m[req.GetKey()] == req.GetAttempt() && req.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		delete(m, req.GetKey())
	}
}

func locate(p *process, key string) (*pb.Owner, bool) {
	return idempotency.Locate("s", key, p.view, ownerOf)
}

var (
	ownerProtocol = protocol{
		newStore: func(self *pb.Owner) keyStore { return idempotency.NewOwner(self, limits, ownerOf) },
		locate:   locate,
		barrier:  true,
	}
	localMemoryOnly = protocol{
		newStore: func(*pb.Owner) keyStore { return simpleStore{} },
		locate:   func(p *process, _ string) (*pb.Owner, bool) { return p.self, false },
	}
	noBarrier = protocol{
		newStore: func(*pb.Owner) keyStore { return simpleStore{} },
		locate:   locate,
	}
	barrierWithoutEpochs = protocol{
		newStore: func(*pb.Owner) keyStore { return simpleStore{} },
		locate:   locate,
		barrier:  true,
	}
)

// newKey creates a key for a caller whose clock error may exceed the limit.
func (s *simulation) newKey() *key {
	k := &key{name: fmt.Sprint("opaque-", len(s.keys)), hasTime: s.choose(2) == 0}
	if k.hasTime {
		k.name = s.newTimedKey(len(s.keys))
	}
	s.keys = append(s.keys, k)
	return k
}

func (s *simulation) newTimedKey(number int) string {
	created := s.now.Add(time.Duration(s.choose(8001)-4000) * time.Millisecond)
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, byte(number)
	return id.String()
}

func pick[T any](s *simulation, items []T) T { return items[s.choose(len(items))] }

// step performs one random action and then some steps of the network and of attempts.
func (s *simulation) step() {
	name := pick(s, names)
	p := s.current[name]
	switch s.choose(16) {
	case 0, 1:
		s.send(s.newKey(), p)
	case 2, 3, 4, 5, 6:
		if len(s.keys) > 0 {
			s.send(s.keys[max(0, len(s.keys)-1-s.choose(3))], p)
		}
	case 7, 8, 9:
		s.applyMost()
	case 10:
		s.changeOwners()
	case 11, 12:
		s.settleOwners()
	case 13:
		s.stepProcess(name, p)
	case 14, 15:
		scale := []time.Duration{time.Millisecond, time.Second, 15 * time.Second}
		s.now = s.now.Add(time.Duration(1+s.choose(4)) * pick(s, scale))
	}
	for range s.choose(6) {
		s.stepNetwork()
		s.stepAttempt()
	}
}

// applyMost lets most processes apply the newest fleet.
func (s *simulation) applyMost() {
	for _, name := range names {
		if s.choose(4) > 0 {
			s.apply(s.current[name])
		}
	}
}

// stepNetwork delivers, drops or duplicates a message.
func (s *simulation) stepNetwork() {
	if len(s.network) == 0 {
		return
	}
	i := max(0, len(s.network)-1-s.choose(4))
	message := s.network[i]
	action := s.choose(8)
	if action > 0 {
		s.network = append(s.network[:i:i], s.network[i+1:]...)
	}
	if action != 1 {
		message()
	}
}

func (s *simulation) stepAttempt() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[max(0, len(s.attempts)-1-s.choose(4))]
	for _, granted := range a.by.granted {
		if granted == a {
			s.run(a)
			return
		}
	}
	if s.choose(16) == 0 {
		s.abandon(a)
	}
}

// stepProcess pauses, resumes, kills or replaces a process, or resumes one that was replaced.
func (s *simulation) stepProcess(name string, p *process) {
	switch s.choose(5) {
	case 0:
		p.paused = true
		p.pauses++
	case 1:
		s.resume(p)
	case 2:
		p.dead = true
	case 3:
		if p.dead || p.paused {
			s.start(name)
		}
	case 4:
		s.resume(pick(s, s.all))
	}
}

func (s *simulation) resume(p *process) {
	p.paused = false
	inbox := p.inbox
	p.inbox = nil
	for _, message := range inbox {
		if !p.dead {
			message()
		}
	}
}

// violations returns the numbers of keys that ran more than once and of attempts that ran although "not run" was
// reported.
func (s *simulation) violations() (doubleRuns, falseNotRun int) {
	runs := map[string]int{}
	for _, a := range s.attempts {
		if !a.ran {
			continue
		}
		runs[a.key]++
		if runs[a.key] == 2 {
			doubleRuns++
		}
		if a.notRun {
			falseNotRun++
		}
	}
	return doubleRuns, falseNotRun
}

func history(d protocol, steps int, choose func(n int) int) *simulation {
	s := newSimulation(d, choose)
	for range steps {
		s.step()
	}
	return s
}

const (
	steps           = 150
	histories       = 5000
	faultyHistories = 300
)

// TestFaultyProtocolsRunTwice checks that the histories detect protocols that lack a safeguard.
func TestFaultyProtocolsRunTwice(t *testing.T) {
	for name, d := range map[string]protocol{
		"local memory only": localMemoryOnly, "no barrier": noBarrier, "barrier without epochs": barrierWithoutEpochs,
	} {
		doubleRuns := 0
		for seed := range uint64(faultyHistories) {
			twice, _ := history(d, steps, rand.New(rand.NewPCG(seed, 0)).IntN).violations()
			doubleRuns += twice
		}
		t.Logf("%s: %d keys ran twice in %d histories", name, doubleRuns, faultyHistories)
		assert.Assert(t, doubleRuns > 0, name)
	}
}

// TestAtMostOneRun runs the Owner on fixed-seed histories, which include those of TestFaultyProtocolsRunTwice.
func TestAtMostOneRun(t *testing.T) {
	ran, sent := 0, 0
	for seed := range uint64(histories) {
		s := history(ownerProtocol, steps, rand.New(rand.NewPCG(seed, 0)).IntN)
		doubleRuns, falseNotRun := s.violations()
		assert.Equal(t, doubleRuns, 0, "seed %d", seed)
		assert.Equal(t, falseNotRun, 0, "seed %d", seed)
		for _, a := range s.attempts {
			sent++
			if a.ran {
				ran++
			}
		}
	}
	t.Logf("%d of %d attempts ran", ran, sent)
	assert.Assert(t, ran > histories, "too few attempts ran in the histories")
}

// TestAtMostOneRunRapid lets rapid generate and shrink the histories.
func TestAtMostOneRunRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		doubleRuns, falseNotRun := history(ownerProtocol, steps, choose).violations()
		assert.Equal(rt, doubleRuns, 0)
		assert.Equal(rt, falseNotRun, 0)
	})
}
