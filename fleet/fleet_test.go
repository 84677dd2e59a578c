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

// One pool's requests only run on a host at any moment, nothing in the store goes back, and when all failures are over
// every drain and change of owners comes to its end.
func TestOnePoolAtAnyMoment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 1<<20)
		w := newWorld(variant{}, func(n int) int { return number.Draw(t, "n") % n })
		for range modelSteps {
			w.step()
			assert.Equal(t, w.fault, "")
		}
		w.heal()
		assert.Equal(t, w.fault, "")
	})
}

// runSeeds runs the model over seeds from one on and returns the first fault, the seed that showed it, and how many moves were made.
func runSeeds(v variant, from uint64) (fault string, at uint64, moved int) {
	for seed := from; seed < from+seeds; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(v, random.IntN)
		for range modelSteps {
			w.step()
		}
		if w.fault == "" && v == (variant{}) {
			w.heal()
		}
		moved += w.moved
		if w.fault != "" {
			return w.fault, seed, moved
		}
	}
	return "", 0, moved
}

func TestOnePoolOverSeeds(t *testing.T) {
	fault, seed, moved := runSeeds(variant{}, 0)
	assert.Equal(t, fault, "", "seed %d", seed)
	assert.Assert(t, moved >= seeds, "%d moves: the model does too little", moved)
}

// Each naive version breaks the promise in the same model, so the model can see it.
func TestNaiveVersionsFail(t *testing.T) {
	for name, c := range map[string]struct {
		v    variant
		from uint64
	}{
		"release by lapsed lease": {v: variant{leaseRelease: true}},
		"view that goes back":     {v: variant{backwardGate: true}},
		"guests not asked":        {v: variant{noGuests: true}},
		"write without compare":   {v: variant{blindWrite: true}},
		"heartbeats in any order": {v: variant{anyOrder: true}, from: 11300},
	} {
		t.Run(name, func(t *testing.T) {
			fault, seed, _ := runSeeds(c.v, c.from)
			t.Logf("seed %d: %s", seed, fault)
			assert.Assert(t, fault != "")
		})
	}
}

func TestOrdersRepeatAndExclude(t *testing.T) {
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

func TestCancelLeavesADownHostDown(t *testing.T) {
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

func TestRemovedHostVanishesAfterItsRelease(t *testing.T) {
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
	heard := func(since, at time.Duration) map[string]fleet.Received {
		return map[string]fleet.Received{"i2": {Since: now.Add(since), At: now.Add(at)}}
	}
	for name, c := range map[string]struct {
		proof fleet.Proof
		heard map[string]fleet.Received
		gone  bool
	}{
		"shown gone":                  {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-3 * time.Second)}, nil, true},
		"no proof":                    {fleet.Proof{}, nil, false},
		"within the pause limit":      {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-time.Second)}, nil, false},
		"list shows the earlier one":  {fleet.Proof{Incarnation: "i1", SeenAt: now.Add(-time.Minute)}, nil, false},
		"no name, never heard":        {fleet.Proof{SeenAt: now.Add(-time.Minute)}, nil, false},
		"no name, heard before":       {fleet.Proof{SeenAt: now.Add(-3 * time.Second)}, heard(-time.Minute, -time.Minute), true},
		"no name, started after":      {fleet.Proof{SeenAt: now.Add(-time.Minute)}, heard(-time.Second, -time.Second), false},
		"shown gone, heard since all": {fleet.Proof{Incarnation: "i2", SeenAt: now.Add(-3 * time.Second)}, heard(-time.Minute, 0), false},
	} {
		r := fleet.Reports{Now: now, PauseLimit: pauseLimit, Heartbeats: c.heard}
		next, err := fleet.RemoveGone(f, "e1", "i2", c.proof, r)
		assert.Equal(t, err == nil, c.gone, "%s: %v", name, err)
		if c.gone {
			assert.Equal(t, len(next.Members), 0)
		}
	}
}
