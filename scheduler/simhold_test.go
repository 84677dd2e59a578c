package scheduler_test

import (
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// simHold is a hold that has arrived at the worker.
type simHold struct {
	owner          *simOwner
	worker         *simWorker
	hold           scheduler.Hold
	sent           time.Time
	expected       int64
	deadline       int64
	waits, arrived bool
	// begun is the incarnation that has applied the hold before its answer, 0 if none. sleeps means that an end does not wake the hold.
	begun  int64
	sleeps bool
}

// poll answers the hold once a run has ended or its deadline has passed.
func (c *simHold) poll() {
	o, w := c.owner, c.worker
	s := o.sim
	if !w.up || o.cutOff(w) || c.begun != 0 && c.begun != w.incarnation {
		c.holdAgain(o.delayAfterBrokenHold(w))
		return
	}
	if c.arrive() {
		c.holdAgain(1000)
		return
	}
	if c.waits && s.now < c.deadline && (len(w.ended) == 0 || c.sleeps) {
		s.after(20, c.poll)
		return
	}
	if !s.faults.revocations && o.delayHold(w, c.hold, c.expected, c.sent) {
		c.holdAgain(1000)
		return
	}
	c.answer()
}

// arrive applies a hold before its answer, with faults.revocations. It reports whether the hold is late instead.
func (c *simHold) arrive() bool {
	o, w := c.owner, c.worker
	if !o.sim.faults.revocations || c.arrived {
		return false
	}
	c.arrived = true
	if o.delayHold(w, c.hold, c.expected, c.sent) {
		return true
	}
	if w.matchesIncarnation(c.expected) && w.beginHold(c.hold) {
		c.begun = w.incarnation
	} else {
		c.waits = false
	}
	return false
}

func (c *simHold) answer() {
	o, w := c.owner, c.worker
	s := o.sim
	rep, late := scheduler.Report{}, int64(0)
	if c.begun == 0 {
		rep = o.respond(w, c.hold, c.expected)
	} else {
		rep = w.answerHold(c.hold)
		if s.faultsActive() && s.chance(s.faults.lateHolds) {
			late = s.rng.Int64N(2000)
		}
	}
	rep.Sent = c.sent
	if s.faultsActive() && s.chance(s.faults.lostAnswers) {
		c.holdAgain(1000)
		return
	}
	s.after(1+s.rng.Int64N(30)+late, func() {
		rep.Received = s.time()
		if o.answeredBy[w.id] == rep.Born {
			o.pool.SettleAck(w.id, c.hold, scheduler.AckApplied)
		}
		o.unconfirmed[w.id], o.answeredBy[w.id] = false, rep.Born
		o.handle(func(p *scheduler.Pool) { p.Report(s.time(), rep) })
		c.holdAgain(20)
	})
}

func (c *simHold) holdAgain(ms int64) { c.owner.sim.after(ms, func() { c.owner.hold(c.worker) }) }
