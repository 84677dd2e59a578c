package scheduler_test

import (
	"testing"
	"time"

	"github.com/agateturn/agateturn/scheduler"
	"pgregory.net/rapid"
)

// end replaces the owner, or lets it go on without any further confirmation of its ownership.
func (o *simOwner) end() {
	s := o.sim
	if !s.faults.overlap || o.outlives {
		o.replaced = true
		return
	}
	o.outlives, o.reachesAll = true, s.chance(0.5)
	if s.faults.revocations {
		o.loseKey()
		return
	}
	o.pool.SetConfirmed(s.time())
	s.after(15_000, func() { o.replaced = true })
}

// checkOrder checks an order of the present owner, unless it has just begun to learn what came while it stood still.
func (o *simOwner) checkOrder(order scheduler.Order) {
	if s := o.sim; s.owner == o && (o.stalledUntil == 0 || s.now > o.stalledUntil+100) {
		s.checker.checkOrder(order)
	}
}

// checkStates checks what the present owner shows to callers.
func (o *simOwner) checkStates() {
	s := o.sim
	if s.load != nil || s.owner != o {
		return
	}
	for _, id := range s.jobIDs {
		if s.jobs[id].accepted {
			s.checker.checkState(s.jobs[id], o.pool.State(id))
		}
	}
}

// cutOff reports whether the owner cannot reach the worker.
func (o *simOwner) cutOff(w *simWorker) bool { return o.sim.partitioned[w.id] && !o.reachesAll }

// waitUntilRunning reports whether the owner's process stands still, and if so repeats do once it runs again.
func (o *simOwner) waitUntilRunning(do func()) bool {
	stalled := o.stalledUntil > o.sim.now
	if stalled {
		o.sim.after(o.stalledUntil-o.sim.now, do)
	}
	return stalled
}

// delayHold reports whether the hold is late: it is carried out late without an answer, or its answer arrives or is read late.
func (o *simOwner) delayHold(w *simWorker, h scheduler.Hold, expected int64, sent time.Time) bool {
	s := o.sim
	if s.faults.lateHolds == 0 || !s.faultsActive() || !s.chance(s.faults.lateHolds) {
		return false
	}
	if s.chance(0.5) {
		s.after(s.rng.Int64N(8000), func() {
			if w.up {
				o.respond(w, h, expected)
			}
		})
		return true
	}
	rep := o.respond(w, h, expected)
	rep.Sent = sent
	s.after(s.rng.Int64N(2000), func() {
		rep.Received = s.time()
		s.after(s.rng.Int64N(1500), func() {
			o.handle(func(p *scheduler.Pool) { p.Report(s.time(), rep) })
		})
	})
	return true
}

// loseHold handles a hold that did not reach its worker. A worker that is down has ended its connection, so that it was not sent.
func (o *simOwner) loseHold(w *simWorker, h scheduler.Hold) {
	s := o.sim
	if !w.up {
		o.pool.SettleAck(w.id, h, scheduler.AckNotSent)
	}
	if s.naive {
		o.handle(func(p *scheduler.Pool) {
			p.Report(s.time(), scheduler.Report{Worker: w.id, Address: w.id, Sent: s.time(), Received: s.time(), Gone: true})
		})
	}
}

// delayAfterLostHold returns the time in ms until the next hold of a worker that did not get one. It reports the end of a worker
// that is down.
func (o *simOwner) delayAfterLostHold(w *simWorker) int64 {
	if o.sim.faults.refuses && !w.up && !o.cutOff(w) {
		o.reportEnd(w)
		return 600
	}
	return 1000
}

// delayAfterBrokenHold returns the time in ms until the next hold of a worker that went down or was cut off during one.
func (o *simOwner) delayAfterBrokenHold(w *simWorker) int64 {
	if o.sim.faults.refuses && !w.up {
		return 150
	}
	return 1000
}

// Guards against two runs of a task where owners act beside their successors, or stand still between reading their clock and sending,
// and where holds and their answers are seconds late.
func TestOwnersThatOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.partitions, f.takeovers = rapid.IntRange(2, 8).Draw(t, "cuts"), rapid.IntRange(2, 5).Draw(t, "owners")
		f.overlap, f.stalls = rapid.Bool().Draw(t, "overlap"), rapid.IntRange(0, 4).Draw(t, "stalls")
		f.lateHolds = float64(rapid.IntRange(0, 20).Draw(t, "late holds")) / 100
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
