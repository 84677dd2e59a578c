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

// naiveMemory remembers the keys it has granted and nothing about how it came to own them.
type naiveMemory map[string]string // attempt by key

func (m naiveMemory) SetFleet(time.Time, *pb.Fleet) {}

func (m naiveMemory) Claim(_ time.Time, req *pb.ClaimRequest) *pb.ClaimResponse {
	if _, ok := m[req.GetKey()]; ok {
		return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_RUNNING}
	}
	m[req.GetKey()] = req.GetAttempt()
	return &pb.ClaimResponse{Verdict: pb.ClaimVerdict_CLAIM_VERDICT_GRANTED}
}

func (m naiveMemory) Finish(_ time.Time, req *pb.FinishRequest) {
	if m[req.GetKey()] == req.GetAttempt() && req.GetOutcome().GetKind() == pb.OutcomeKind_OUTCOME_KIND_NOT_RUN {
		delete(m, req.GetKey())
	}
}

func locate(p *process, key string) (*pb.Owner, bool) {
	return idempotency.Locate("s", key, p.view, ownerOf)
}

var (
	proved = design{
		newMemory: func(self *pb.Owner) memory { return idempotency.NewOwner(self, limits, ownerOf) },
		locate:    locate,
		barrier:   true,
	}
	ownMemoryOnly = design{
		newMemory: func(*pb.Owner) memory { return naiveMemory{} },
		locate:    func(p *process, _ string) (*pb.Owner, bool) { return p.self, false },
	}
	noBarrier = design{
		newMemory: func(*pb.Owner) memory { return naiveMemory{} },
		locate:    locate,
	}
	barrierWithoutEpochs = design{
		newMemory: func(*pb.Owner) memory { return naiveMemory{} },
		locate:    locate,
		barrier:   true,
	}
)

// newKey makes a key as a caller does whose clock may be off by more than the limit.
func (w *world) newKey() *key {
	k := &key{name: fmt.Sprint("opaque-", len(w.keys)), timed: w.choose(2) == 0}
	if k.timed {
		k.name = w.newTimedKey(len(w.keys))
	}
	w.keys = append(w.keys, k)
	return k
}

func (w *world) newTimedKey(number int) string {
	created := w.now.Add(time.Duration(w.choose(8001)-4000) * time.Millisecond)
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(created.UnixMilli())<<16)
	id[6], id[8], id[15] = 0x70, 0x80, byte(number)
	return id.String()
}

func pick[T any](w *world, items []T) T { return items[w.choose(len(items))] }

// step does one random thing.
func (w *world) step() {
	name := pick(w, names)
	p := w.current[name]
	switch w.choose(16) {
	case 0, 1:
		w.send(w.newKey(), p)
	case 2, 3, 4, 5, 6:
		if len(w.keys) > 0 {
			w.send(w.keys[max(0, len(w.keys)-1-w.choose(3))], p)
		}
	case 7, 8, 9:
		w.applyMost()
	case 10:
		w.changeOwners()
	case 11, 12:
		w.settleOwners()
	case 13:
		w.stepProcess(name, p)
	case 14, 15:
		scale := []time.Duration{time.Millisecond, time.Second, 15 * time.Second}
		w.now = w.now.Add(time.Duration(1+w.choose(4)) * pick(w, scale))
	}
	for range w.choose(6) {
		w.stepNetwork()
		w.stepAttempt()
	}
}

// applyMost lets most processes take the newest fleet.
func (w *world) applyMost() {
	for _, name := range names {
		if w.choose(4) > 0 {
			w.apply(w.current[name])
		}
	}
}

// stepNetwork delivers, loses or doubles a message.
func (w *world) stepNetwork() {
	if len(w.network) == 0 {
		return
	}
	i := max(0, len(w.network)-1-w.choose(4))
	message := w.network[i]
	fate := w.choose(8)
	if fate > 0 {
		w.network = append(w.network[:i:i], w.network[i+1:]...)
	}
	if fate != 1 {
		message()
	}
}

func (w *world) stepAttempt() {
	if len(w.attempts) == 0 {
		return
	}
	a := w.attempts[max(0, len(w.attempts)-1-w.choose(4))]
	for _, granted := range a.by.granted {
		if granted == a {
			w.run(a)
			return
		}
	}
	if w.choose(16) == 0 {
		w.giveUp(a)
	}
}

// stepProcess freezes, thaws, kills or replaces a process, or thaws one that was replaced.
func (w *world) stepProcess(name string, p *process) {
	switch w.choose(5) {
	case 0:
		p.frozen = true
		p.paused++
	case 1:
		w.thaw(p)
	case 2:
		p.dead = true
	case 3:
		if p.dead || p.frozen {
			w.start(name)
		}
	case 4:
		w.thaw(pick(w, w.all))
	}
}

func (w *world) thaw(p *process) {
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, message := range inbox {
		if !p.dead {
			message()
		}
	}
}

// violations returns the keys that ran more than once and the attempts that ran although "not run" was said.
func (w *world) violations() (doubled, falseNotRun int) {
	runs := map[string]int{}
	for _, a := range w.attempts {
		if !a.ran {
			continue
		}
		runs[a.key]++
		if runs[a.key] == 2 {
			doubled++
		}
		if a.notRun {
			falseNotRun++
		}
	}
	return doubled, falseNotRun
}

func history(d design, steps int, choose func(n int) int) *world {
	w := newWorld(d, choose)
	for range steps {
		w.step()
	}
	return w
}

const (
	steps          = 150
	histories      = 5000
	naiveHistories = 300
)

// TestNaiveDesignsRunTwice shows that the histories tell a wrong design.
func TestNaiveDesignsRunTwice(t *testing.T) {
	for name, d := range map[string]design{
		"own memory only": ownMemoryOnly, "no barrier": noBarrier, "barrier without epochs": barrierWithoutEpochs,
	} {
		doubled := 0
		for seed := range uint64(naiveHistories) {
			twice, _ := history(d, steps, rand.New(rand.NewPCG(seed, 0)).IntN).violations()
			doubled += twice
		}
		t.Logf("%s: %d keys ran twice in %d histories", name, doubled, naiveHistories)
		assert.Assert(t, doubled > 0, name)
	}
}

// TestAtMostOneRun uses the same histories.
func TestAtMostOneRun(t *testing.T) {
	ran, sent := 0, 0
	for seed := range uint64(histories) {
		w := history(proved, steps, rand.New(rand.NewPCG(seed, 0)).IntN)
		doubled, falseNotRun := w.violations()
		assert.Equal(t, doubled, 0, "seed %d", seed)
		assert.Equal(t, falseNotRun, 0, "seed %d", seed)
		for _, a := range w.attempts {
			sent++
			if a.ran {
				ran++
			}
		}
	}
	t.Logf("%d of %d attempts ran", ran, sent)
	assert.Assert(t, ran > histories, "the histories hardly run anything")
}

// TestAtMostOneRunRapid lets rapid choose and shrink the histories.
func TestAtMostOneRunRapid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "choice") }
		doubled, falseNotRun := history(proved, steps, choose).violations()
		assert.Equal(rt, doubled, 0)
		assert.Equal(rt, falseNotRun, 0)
	})
}
