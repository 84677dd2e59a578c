package scheduler

import "time"

const (
	// unhealthyPause and noRoomPause are the initial pauses of a worker after a refusal; they double with each
	// further refusal.
	unhealthyPause = 200 * time.Millisecond
	noRoomPause    = 150 * time.Millisecond
	// taskPause is the initial pause of a task whose order was refused because of the task itself.
	taskPause         = 200 * time.Millisecond
	maxTaskPauseSteps = 3
)

// start orders a run of the task on the worker.
func (p *Pool) start(now time.Time, t *task, w *worker, number int64) *run {
	until := p.lease(now, w)
	r := p.newRun(w, t.id(), number, t)
	r.until = until
	r.address = w.Address
	r.orderedAt, r.orderedClock, r.born = now, w.lastClock, w.Born
	checkpoint := t.checkpoint
	if t.step.spec.GetGang() {
		checkpoint = t.step.tasks[0].checkpoint
	}
	r.resumed = checkpoint != ""
	order := Order{
		Kind: OrderStart, Worker: w.ID, Address: w.Address, Born: w.Born, Fence: p.fenceFor(w), Task: r.id, Run: number,
		Payload: t.job().spec.GetPayload(), Checkpoint: checkpoint, Ticket: ticketOf(t.step, w), Until: until,
	}
	p.sendBudget.consume(order.Bytes())
	p.out.Orders = append(p.out.Orders, order)
	if w.health.probing {
		w.health.probe = r
	}
	p.beginTrial(now, r)
	p.trackUntried(now, r)
	if t.step.spec.GetSpeculative() {
		p.hasSpeculative = true
	}
	p.addDecision("start", r, "")
	return r
}

// minStartLease is the shortest lease with which tasks are started.
const minStartLease = time.Second

// SetConfirmed sets when the ownership of the pool was last confirmed: the start of the call that confirmed it. A later owner
// must not have acquired the pool before that time. Leases are limited by it, and count as expired only if they did before it; without
// a call neither holds.
func (p *Pool) SetConfirmed(from time.Time) { p.confirmedFrom = from }

// leaseDuration returns how long a lease extended now may last. It is negative if none may be extended: a later owner may
// exist that considers everything started by this one to have ended.
func (p *Pool) leaseDuration(now time.Time) time.Duration {
	if p.confirmedFrom.IsZero() {
		return p.cfg.Lease
	}
	return min(p.cfg.Lease, p.confirmedFrom.Add(p.cfg.longestLease()).Sub(now))
}

// mayStart reports whether a task started now would have a useful lease.
func (p *Pool) mayStart(now time.Time) bool {
	return p.leaseDuration(now) >= min(minStartLease, p.cfg.Lease)
}

// longestLease returns how long a lease may last after the last confirmation of the ownership.
func (c *Config) longestLease() time.Duration { return c.Lease + c.UnconfirmedLease }

// lease returns the lease expiry to request now. It also records the expiry, since the call may be carried out even
// if no answer arrives.
func (p *Pool) lease(now time.Time, w *worker) int64 {
	until := max(0, w.clock.lowerBound(now)+p.leaseDuration(now).Milliseconds())
	w.requestedUntil = max(w.requestedUntil, until)
	if !w.nextLeaseEnd.IsZero() {
		w.nextLeaseEnd = now.Add(maxLeaseDuration(p.cfg.MaxLease))
	}
	return until
}

// Hold returns the parameters of the next hold of a worker. If it acknowledges ends, SettleAck must follow once its result is known.
func (p *Pool) Hold(id string, now time.Time) Hold {
	h := p.Poll(id, now)
	if w := p.workers[id]; w != nil {
		h.LastSeen = w.acks.add(now, h.Fence, p.acknowledge(w))
	}
	return h
}

// Poll is like Hold, but acknowledges nothing.
func (p *Pool) Poll(id string, now time.Time) Hold {
	w := p.workers[id]
	if w == nil {
		return Hold{}
	}
	h := Hold{Fence: p.fenceFor(w)}
	// The lease of a silent worker must expire, so it is not extended. Any expiry, even one that was asked for before, would do so on the
	// clock of a later incarnation.
	if w.clock.known && !w.silent(now) {
		h.Until = p.lease(now, w)
	}
	return h
}

// Result applies the result of an order.
func (p *Pool) Result(now time.Time, res OrderResult) {
	w := p.workers[res.Order.Worker]
	if w == nil {
		return
	}
	if res.Outcome == OutcomeFenced {
		if p.isCurrentFence(w, res.Order.Fence) {
			p.fenced = true
			return
		}
		// A call may be delivered twice, so a start that was overtaken by this owner's next fence may have been executed before.
		res.Outcome = OutcomeUnknown
	}
	if res.Outcome == OutcomeGone && res.Order.Born >= w.Born {
		p.handleWrongInstance(now, w, res.Order.Address, now)
	}
	r := w.byKey[runKey{res.Order.Task, res.Order.Run}]
	if r == nil || (res.Order.Kind != OrderStart && res.Order.Born != w.Born && res.Order.Born != 0) {
		return
	}
	switch res.Order.Kind {
	case OrderStart:
		p.startResult(now, r, res)
	case OrderStop:
		p.stopResult(now, r, res)
	case OrderPace:
		p.paceResult(now, r, res)
	}
}

func (p *Pool) startResult(now time.Time, r *run, res OrderResult) {
	if r.state != runOrdered && r.state != runUnknown {
		return
	}
	w := r.worker
	// The clock of an incarnation never goes back. A later one takes an expiry on the earlier clock for the longest lease.
	isLater := res.Clock > 0 && res.Clock < r.orderedClock
	if isLater && res.Order.Born == w.Born {
		w.nextLeaseEnd = now.Add(maxLeaseDuration(p.cfg.MaxLease))
	}
	switch res.Outcome {
	case OutcomeDone:
		r.state = runAccepted
		p.sendBudget.addStartedWork(r.task)
		r.answered = now
		r.acceptedLater = isLater
		if res.Order.Born == w.Born && !isLater {
			r.begunClock = res.Clock
			w.lastClock = max(w.lastClock, res.Clock)
		}
		w.pauses = 0
		p.stopProof(now, r)
		if r.task != nil && !r.task.job().started {
			p.addJobDecision(now, DecisionBegun, r.task.job(), "")
		}
		if r.task != nil {
			p.markStarted(r.task.job())
		}
	case OutcomeUnknown, OutcomeOutdated:
		// An outdated run may already have ended there, after a start that was delivered twice.
		r.state = runUnknown
		r.brokeOff = r.onTrial && res.Outcome == OutcomeUnknown && r.age(now) <= brokenTime
		r.unknownAt = now
		r.resolveAt = now.Add(unansweredStartWait)
		w.unansweredStarts++
		p.watch(r)
		p.out.Poll = append(p.out.Poll, w.ID)
	default:
		p.startRefused(now, r, res.Outcome)
	}
}

func (p *Pool) startRefused(now time.Time, r *run, outcome Outcome) {
	p.addDecision("refused", r, outcome.String())
	w := r.worker
	switch outcome {
	case OutcomeNotSent:
		r.withdrawCharge()
		w.pause(now, unhealthyPause)
	case OutcomeUnhealthy, OutcomeGone:
		w.pause(now, unhealthyPause)
	case OutcomeNoRoom, OutcomeLate:
		w.pause(now, noRoomPause)
	case OutcomeTicket:
		discardTicket(r)
		pauseAfterRefusal(now, r.task)
	default:
		pauseAfterRefusal(now, r.task)
	}
	p.revertStart(now, r)
}

func pauseAfterRefusal(now time.Time, t *task) {
	if t == nil {
		return
	}
	t.notBefore = now.Add(taskPause << min(t.refusals, maxTaskPauseSteps))
	t.refusals++
}

func (p *Pool) stopResult(now time.Time, r *run, res OrderResult) {
	r.stopOrdered = false
	if res.Outcome == OutcomeDone || res.Outcome == OutcomeOutdated {
		r.stopping = true
		p.watch(r)
		r.stopAcked = now
		r.stopAt = now.Add(p.cfg.StopTime + stopAnswerTimeout)
		p.out.Poll = append(p.out.Poll, r.worker.ID)
		return
	}
	r.stopAt = now.Add(stopRetryDelay)
	if !r.mayContinue() {
		return
	}
	if r.isUnansweredMove() {
		r.withdrawMove(now, res.Outcome != OutcomeNotSent)
		return
	}
	if r.unresolvedStop() && r.state == runUnknown && r.task.step.spec.GetPersistent() {
		// The task may be available by now, so a later list is awaited before the stop is repeated.
		r.stopping = false
		r.unknownAt = now
		r.resolveAt = now.Add(unansweredStartWait)
	}
}

// String returns the name of the outcome for the log.
func (o Outcome) String() string {
	names := [...]string{
		OutcomeDone: "done", OutcomeUnknown: "unknown", OutcomeNotSent: "not sent", OutcomeFenced: "fenced",
		OutcomeOutdated: "outdated", OutcomeLate: "late", OutcomeNoRoom: "no room", OutcomeTicket: "ticket",
		OutcomeInvalid: "invalid", OutcomeUnhealthy: "unhealthy", OutcomeGone: "gone",
	}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
