package scheduler

import "time"

const (
	// pauseUnhealthy and pauseRoom are first pauses of a worker after refusals; they double.
	pauseUnhealthy = 200 * time.Millisecond
	pauseRoom      = 150 * time.Millisecond
	// pauseTask is the pause of a task whose order was refused for its own sake.
	pauseTask    = 200 * time.Millisecond
	maxTaskPause = 3
)

// start orders a run of the task on the worker.
func (p *Pool) start(now time.Time, t *task, w *worker, number int64) {
	until := p.lease(now, w)
	r := p.newRun(w, t.id(), number, t)
	r.until = until
	r.orderedAt = now
	checkpoint := t.checkpoint
	if t.step.spec.GetGang() {
		checkpoint = t.step.tasks[0].checkpoint
	}
	r.resumed = checkpoint != ""
	order := Order{
		Kind: OrderStart, Worker: w.ID, Address: w.Address, Born: w.Born, Task: r.id, Run: number,
		Payload: t.job().spec.GetPayload(), Checkpoint: checkpoint, Ticket: ticketOf(t.step, w), Until: until,
	}
	p.sending.spend(order.Bytes())
	p.out.Orders = append(p.out.Orders, order)
	if w.trust.probing {
		w.trust.probe = r
	}
	if t.step.spec.GetSpeculative() {
		p.speculates = true
	}
	p.decide("start", r, "")
}

// lease returns the lease to ask for now and takes note of it, as the call may be carried out without an answer.
func (p *Pool) lease(now time.Time, w *worker) int64 {
	until := w.clock.lower(now) + p.cfg.Lease.Milliseconds()
	w.leaseUntil = max(w.leaseUntil, until)
	return until
}

// Hold tells what the next hold of a worker asks for.
func (p *Pool) Hold(id string, now time.Time) Hold {
	w := p.workers[id]
	if w == nil {
		return Hold{}
	}
	h := Hold{LastSeen: p.acknowledge(w)}
	switch {
	case !w.clock.known:
	case w.silent(now):
		// A silent worker's lease has to lapse, so it is not extended.
		h.Until = w.leaseUntil
	default:
		h.Until = p.lease(now, w)
	}
	return h
}

// Result takes what became of an order.
func (p *Pool) Result(now time.Time, res OrderResult) {
	if res.Outcome == OutcomeFenced {
		p.fenced = true
		return
	}
	w := p.workers[res.Order.Worker]
	if w == nil {
		return
	}
	if res.Outcome == OutcomeGone {
		p.lifetimeGone(now, w, res.Order.Born)
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
	switch res.Outcome {
	case OutcomeDone:
		r.state = runAccepted
		p.sending.carries(r.task)
		r.answered = stamp{set: true, at: now, clock: res.Clock}
		w.pauses = 0
		if r.task != nil && !r.task.job().started {
			p.decideJob(now, DecisionBegun, r.task.job(), "")
		}
		if r.task != nil {
			p.markStarted(r.task.job())
		}
	case OutcomeUnknown, OutcomeOutdated:
		// An outdated run may have ended there already, after a start that was delivered twice.
		r.state = runUnknown
		r.unknownAt = now
		r.resolveAt = now.Add(resolveAfter)
		w.doubt++
		p.watch(r)
		p.out.Poll = append(p.out.Poll, w.ID)
	default:
		p.startRefused(now, r, res.Outcome)
	}
}

func (p *Pool) startRefused(now time.Time, r *run, outcome Outcome) {
	p.decide("refused", r, outcome.String())
	w := r.worker
	switch outcome {
	case OutcomeUnhealthy, OutcomeNotSent:
		w.pause(now, pauseUnhealthy)
	case OutcomeNoRoom, OutcomeLate:
		w.pause(now, pauseRoom)
	case OutcomeTicket:
		dropTicket(r)
		pauseTaskOf(now, r.task)
	default:
		pauseTaskOf(now, r.task)
	}
	p.refused(now, r)
}

func pauseTaskOf(now time.Time, t *task) {
	if t == nil {
		return
	}
	t.notBefore = now.Add(pauseTask << min(t.refusals, maxTaskPause))
	t.refusals++
}

func (p *Pool) stopResult(now time.Time, r *run, res OrderResult) {
	if res.Outcome == OutcomeDone || res.Outcome == OutcomeOutdated {
		r.stopping = true
		p.watch(r)
		r.stopAcked = stamp{set: true, at: now, clock: res.Clock}
		r.stopAt = now.Add(p.cfg.StopTime + answerTime)
		p.out.Poll = append(p.out.Poll, r.worker.ID)
		return
	}
	r.stopAt = now.Add(retryStop)
	if !r.wanted() {
		return
	}
	if r.stopReason == movedAway && !r.stopAcked.set {
		// The budget may have been used up since: the move is decided again. The run may end until the stop is too old,
		// whatever lists show meanwhile.
		r.stopping = false
		if res.Outcome != OutcomeNotSent {
			r.endsUntil = now.Add(lateStop)
		}
		r.percent = 0
		r.percentAt = now
		return
	}
	if r.unresolvedStop() && r.state == runUnknown && r.task.step.spec.GetPersistent() {
		// It may have come to work since: look again before it is stopped again.
		r.stopping = false
		r.unknownAt = now
		r.resolveAt = now.Add(resolveAfter)
	}
}

// String names the outcome for logs.
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
