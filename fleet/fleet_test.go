package fleet_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/agateturn/agateturn/fleet"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	modelSteps = 300
	seeds      = 500
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4")
	}
	os.Exit(m.Run())
}

// At any time a host runs requests of only one pool, and revisions and terms in the store never decrease. Once all
// failures are over, every drain and every change of owners completes.
func TestOnePoolAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<20)
		s := newSimulation(variant{}, func(n int) int { return number.Draw(t, "n") % n })
		for range modelSteps {
			s.step()
			assert.Equal(t, s.violation, "")
		}
		s.endFailures()
		assert.Equal(t, s.violation, "")
	})
}

// runSeeds runs the simulation over consecutive seeds that start at from. It returns the first violation, its seed, and
// the number of moves.
func runSeeds(v variant, from uint64) (violation string, at uint64, moved int) {
	for seed := from; seed < from+seeds; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		s := newSimulation(v, random.IntN)
		for range modelSteps {
			s.step()
		}
		if s.violation == "" && v == (variant{}) {
			s.endFailures()
		}
		moved += s.moved
		if s.violation != "" {
			return s.violation, seed, moved
		}
	}
	return "", 0, moved
}

func TestOnePoolOverSeeds(t *testing.T) {
	violation, seed, moved := runSeeds(variant{}, 0)
	assert.Equal(t, violation, "", "seed %d", seed)
	assert.Assert(t, moved >= seeds, "%d moves: the simulation does too little", moved)
}

// Each faulty variant violates the invariants in the same simulation, so the simulation can detect such faults.
func TestFaultyVariantsFail(t *testing.T) {
	for name, c := range map[string]struct {
		variant variant
		from    uint64
	}{
		"release by expired lease": {variant: variant{leaseRelease: true}},
		"fleet revision decreases": {variant: variant{backwardGate: true}},
		"guests ignored":           {variant: variant{noGuests: true}},
		"write without compare":    {variant: variant{blindWrite: true}},
		"heartbeats in any order":  {variant: variant{anyOrder: true}, from: 11300},
	} {
		t.Run(name, func(t *testing.T) {
			violation, seed, _ := runSeeds(c.variant, c.from)
			t.Logf("seed %d: %s", seed, violation)
			assert.Assert(t, violation != "")
		})
	}
}

func TestOrdersAreIdempotentAndExclusive(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{Hosts: []*pb.Host{{Name: "w1", Pool: "tastings"}}}
	f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
	moved, err := fleet.BeginMove(f, "w1", "exports", "order-1", now)
	assert.NilError(t, err)
	again, err := fleet.BeginMove(moved, "w1", "exports", "order-1", now)
	assert.NilError(t, err)
	assert.Assert(t, again == moved)

	_, err = fleet.BeginMaintenance(moved, "w1", "spring", "order-2", now)
	assert.Assert(t, fleet.AlreadyBusy.Has(err), err)
	_, err = fleet.BeginMove(f, "w1", "tastings", "order-3", now)
	assert.Assert(t, fleet.SamePool.Has(err), err)
	_, err = fleet.BeginMove(f, "w2", "exports", "order-4", now)
	assert.Assert(t, fleet.UnknownHost.Has(err), err)
	_, err = fleet.NextWrite(fleet.TakeOver(f, "b"), 0, "a", "write")
	assert.Assert(t, fleet.StaleTerm.Has(err), err)
}

func TestCancelKeepsDownHostDown(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{Hosts: []*pb.Host{{Name: "w1", Pool: "tastings"}}}
	f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
	f, err := fleet.MarkDown(f, "w1", "order-1", now)
	assert.NilError(t, err)
	_, err = fleet.BeginMove(f, "w1", "exports", "order-2", now)
	assert.Assert(t, fleet.WrongPhase.Has(err), err)
	drains, err := fleet.BeginMaintenance(f, "w1", "spring", "order-3", now)
	assert.NilError(t, err)
	again, err := fleet.BeginMaintenance(drains, "w1", "spring", "order-3", now)
	assert.NilError(t, err)
	assert.Assert(t, again == drains)
	f, err = fleet.Cancel(drains, "w1", now)
	assert.NilError(t, err)
	assert.Equal(t, f.Hosts[0].Phase, pb.HostPhase_HOST_PHASE_DOWN)
}

func TestRemovedHostIsDeletedAfterRelease(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := &pb.Configuration{Hosts: []*pb.Host{{Name: "w1", Pool: "tastings"}}}
	f := fleet.Reconcile(&pb.Fleet{}, cfg, now)
	f, err := fleet.Register(f, &pb.Member{Name: "e1", Incarnation: "i1"})
	assert.NilError(t, err)
	f = fleet.Reconcile(f, &pb.Configuration{}, now)
	_, err = fleet.Complete(f, "w1", fleet.Reports{Now: now})
	assert.Assert(t, fleet.NotReleased.Has(err), err)
	f, err = fleet.Leave(f, "e1", "i1")
	assert.NilError(t, err)
	f, err = fleet.Complete(f, "w1", fleet.Reports{Now: now})
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.Reconcile(f, &pb.Configuration{}, now).Hosts), 0)
}

func TestGoneNeedsProof(t *testing.T) {
	now := time.Unix(1000, 0)
	f, err := fleet.Register(&pb.Fleet{}, &pb.Member{Name: "e1", Incarnation: "i2"})
	assert.NilError(t, err)
	received := func(since, at time.Duration) map[string]fleet.Received {
		return map[string]fleet.Received{"i2": {Since: now.Add(since), At: now.Add(at)}}
	}
	for name, c := range map[string]struct {
		proof      fleet.Proof
		heartbeats map[string]fleet.Received
		gone       bool
	}{
		"shown gone":                      {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-3 * time.Second)}, nil, true},
		"no proof":                        {fleet.Proof{}, nil, false},
		"within the pause limit":          {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-time.Second)}, nil, false},
		"earlier incarnation listed":      {fleet.Proof{Incarnation: "i1", SeenAt: now.Add(-time.Minute)}, nil, false},
		"no incarnation, never reported":  {fleet.Proof{SeenAt: now.Add(-time.Minute)}, nil, false},
		"no incarnation, reported before": {fleet.Proof{SeenAt: now.Add(-3 * time.Second)}, received(-time.Minute, -time.Minute), true},
		"no incarnation, started after":   {fleet.Proof{SeenAt: now.Add(-time.Minute)}, received(-time.Second, -time.Second), false},
		"shown gone, reported since":      {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-3 * time.Second)}, received(-time.Minute, 0), false},
	} {
		r := fleet.Reports{Now: now, PauseLimit: pauseLimit, Heartbeats: c.heartbeats}
		next, err := fleet.RemoveGone(f, "e1", "i2", c.proof, r)
		assert.Equal(t, err == nil, c.gone, "%s: %v", name, err)
		if c.gone {
			assert.Equal(t, len(next.Members), 0)
		}
	}
}
