package scheduler_test

import (
	"maps"
	"testing"
	"time"

	"github.com/agateturn/agateturn/scheduler"
	"github.com/samber/lo"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// config returns the configuration of the owners, but for the fence.
func (s *sim) config() scheduler.Config {
	cfg := simConfig
	cfg.MaxEndsPerReport = s.endsPerReport
	if s.longLeases {
		cfg.Lease, cfg.MaxLease = 9*time.Second, 10*time.Second
	}
	return cfg
}

// Guards against two runs of a task, where leases of silent workers outlast several owners.
func TestLongLeasesOverTakeovers(t *testing.T) {
	adopted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.partitions, f.takeovers = rapid.IntRange(3, 8).Draw(t, "cuts"), rapid.IntRange(3, 8).Draw(t, "owners")
		f.overlap, f.stalls = rapid.Bool().Draw(t, "overlap"), rapid.IntRange(0, 4).Draw(t, "stalls")
		f.lateHolds = float64(rapid.IntRange(0, 20).Draw(t, "late holds")) / 100
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 8).Draw(t, "workers"), f)
		s.longLeases = true
		for _, w := range s.workers {
			w.clockRate = 0.98
		}
		addMixedJobs(s, rapid.IntRange(10, 40).Draw(t, "jobs"))
		for _, violation := range s.run(s.faultPeriod(), 120_000) {
			t.Error(violation)
		}
		adopted += s.adoptedSeals
	})
	assert.Assert(t, adopted > 0)
}

// recordSeals keeps the durable record of sealed workers in line with the pool's, as the roster does.
func (o *simOwner) recordSeals() {
	s := o.sim
	if o.replaced || o.waitUntilRunning(o.recordSeals) {
		return
	}
	seals := o.pool.Seal(s.time())
	s.after(100, o.recordSeals)
	if len(seals) == 0 && len(o.inheritedSeals) == 0 && !o.sealsHeld {
		return
	}
	o.sealsHeld = true
	if s.faultsActive() && s.sealRNG.Float64() < s.faults.lostRecords {
		return
	}
	s.after(5+s.sealRNG.Int64N(30), func() {
		if o.replaced || s.owner != o {
			return
		}
		recorded := lo.KeyBy(seals, func(x scheduler.SealedWorker) string { return x.Worker })
		maps.Copy(recorded, o.inheritedSeals)
		s.durableSeals = recorded
		o.sealsHeld = len(recorded) > 0
		keep := lo.MapValues(recorded, func(scheduler.SealedWorker, string) bool { return true })
		o.handle(func(p *scheduler.Pool) { p.Unseal(s.time(), keep) })
	})
}

// adoptSeals passes the recorded seals of the listed workers to the pool.
func (o *simOwner) adoptSeals(listed []scheduler.Worker) {
	for _, w := range listed {
		if seal, ok := o.inheritedSeals[w.ID]; ok {
			delete(o.inheritedSeals, w.ID)
			o.sim.adoptedSeals++
			o.pool.AdoptSealed(o.sim.time(), seal)
		}
	}
}

// recordIncarnations records the incarnations of the listed workers for later owners, as the roster does.
func (o *simOwner) recordIncarnations(p *scheduler.Pool, listed []scheduler.Worker) {
	if o.sim.owner != o {
		return
	}
	for _, w := range listed {
		o.sim.recordedBorn[w.ID], o.sim.recordedUnsettled[w.ID] = w.Born, p.Unsettled(w.ID, w.Born)
		o.sim.recordedMayForget[w.ID] = p.MayForgetEnds(w.ID)
	}
}
