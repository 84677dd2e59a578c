package scheduler_test

import (
	"testing"

	"github.com/agateturn/agateturn/scheduler"
	"pgregory.net/rapid"
)

const (
	// simConfirmInterval is the time in ms between two confirmations of the ownership.
	simConfirmInterval = 500
	// simOutlivesMs is how long an owner that has lost the pool's key goes on at most.
	simOutlivesMs = 15_000
)

// takeoverDelay returns the time in ms from the end of an owner, or the loss of its key, to the start of the next one.
func (s *sim) takeoverDelay() int64 {
	if s.faults.revocations {
		return 10 + s.rng.Int64N(1000)
	}
	return 100 + s.rng.Int64N(2000)
}

// acquireKey writes the owner's fence to the pool's key and confirms it from then on.
func (o *simOwner) acquireKey() {
	s := o.sim
	if !s.faults.revocations {
		return
	}
	s.keyHolder = o
	o.confirmedFrom = s.time()
	o.pool.SetConfirmed(o.confirmedFrom)
	var renew func()
	renew = func() {
		if !o.replaced {
			o.confirm()
			s.after(simConfirmInterval, renew)
		}
	}
	s.after(simConfirmInterval, renew)
}

// hasKey reports whether the store accepts records of the owner.
func (o *simOwner) hasKey() bool { return !o.sim.faults.revocations || o.sim.keyHolder == o }

// loseKey revokes the owner's lease in the store, while it goes on to call its workers.
func (o *simOwner) loseKey() {
	s := o.sim
	s.trace("EVENT key lost %d", o.fence)
	if s.keyHolder == o {
		s.keyHolder = nil
	}
	s.after(simOutlivesMs, func() { o.replaced = true })
}

// confirm reads the pool's key, one call at a time. The call fails without the owner's fence in the key, and as other calls do.
func (o *simOwner) confirm() {
	s := o.sim
	if !s.faults.revocations || o.confirming || o.replaced || o.stalledUntil > s.now {
		return
	}
	o.confirming = true
	from := s.time()
	s.after(1+s.rng.Int64N(30), func() {
		found := o.hasKey() && !(s.faultsActive() && s.chance(s.faults.lostCalls))
		answerAfter := 1 + s.rng.Int64N(30)
		if s.faultsActive() && s.chance(s.faults.lateHolds) {
			answerAfter += s.rng.Int64N(3000)
		}
		s.after(answerAfter, func() {
			o.confirming = false
			if found {
				o.handle(func(p *scheduler.Pool) {
					o.confirmedFrom = from
					p.SetConfirmed(from)
				})
			}
		})
	})
}

// Guards against a task that begins again after a success of it was acknowledged, and against two runs of it: owners lose the pool's
// key and go on to call their workers beside their successors, while their holds wait there.
func TestRevokedOwnersBesideTheirSuccessors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.takeovers, f.overlap, f.revocations = rapid.IntRange(2, 8).Draw(t, "owners"), true, true
		if rapid.Bool().Draw(t, "steady") {
			f.crashes, f.drains, f.evacuations = 0, 0, 0
		}
		f.stalls = rapid.IntRange(0, 3).Draw(t, "stalls")
		f.lateHolds = float64(rapid.IntRange(0, 20).Draw(t, "late holds")) / 100
		f.sleepyHolds = float64(rapid.IntRange(0, 100).Draw(t, "sleepy holds")) / 100
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 8).Draw(t, "workers"), f)
		for _, w := range s.workers {
			w.clockRate = 0.98
		}
		addMixedJobs(s, rapid.IntRange(10, 40).Draw(t, "jobs"))
		for _, violation := range s.run(s.faultPeriod(), 90_000) {
			t.Error(violation)
		}
	})
}
