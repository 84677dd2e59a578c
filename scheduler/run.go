package scheduler

import "time"

const (
	// resolveAfter is how long a start without an answer may stay unresolved before a stop is ordered.
	resolveAfter = 300 * time.Millisecond
	// resolveBlind is the same without a list from the worker.
	resolveBlind = 900 * time.Millisecond
	// retryStop is the pause before a stop without an answer is ordered again.
	retryStop = 300 * time.Millisecond
	// answerTime is how long the answer to a stop may take before it is ordered again.
	answerTime = 1500 * time.Millisecond
	// lateStop is how late a stop without an answer may be carried out.
	lateStop = 3 * time.Second
)

// noAnswer is the reason to stop a run whose start had no answer.
const noAnswer = "start without an answer"

type runState int

const (
	// runOrdered: the start has been ordered and its answer is open.
	runOrdered runState = iota
	// runUnknown: no answer; it may execute now or later.
	runUnknown
	// runAccepted: the worker has taken the start.
	runAccepted
	// runRunning: a report has listed it.
	runRunning
	// runOver: it does not execute any more and counts no room.
	runOver
)

// run is one attempt of a task on a worker. From its order until it is over it counts against the worker's capacity.
type run struct {
	id     TaskID
	number int64
	// task is nil as long as the job is not known.
	task   *task
	worker *worker
	need   Resources
	state  runState
	// until is the lease that its start asked for, on the worker's clock in ms.
	until     int64
	orderedAt time.Time
	seenAt    time.Time
	// giveUpAt is when the run is over if the lifetime that may have taken its start is never heard.
	giveUpAt time.Time
	// answered is when the start was taken, on both clocks.
	answered stamp

	stopping   bool
	stopReason string
	stopAt     time.Time
	stopAcked  stamp
	// endsUntil is until when a stop without an answer may still be carried out.
	endsUntil  time.Time
	watched    bool
	unknownAt  time.Time
	resolveAt  time.Time
	mark       int64
	percent    int
	percentAt  time.Time
	tail       int64
	checkpoint string
	resumed    bool
	// pace is the percent ordered, pacing means that its answer is open.
	pace   int
	pacing bool
	// judgedAt is the percent at judgedTime, from which the speed is taken.
	judgedAt   int
	judgedTime time.Time
}

// stamp is a moment on the owner's clock and, if known, on the worker's clock in ms.
type stamp struct {
	set   bool
	at    time.Time
	clock int64
}

// before tells whether a report was certainly made after the stamp.
func (s stamp) before(r *Report) bool {
	if !s.set {
		return false
	}
	return r.Sent.After(s.at) || (s.clock > 0 && r.Clock > s.clock)
}

func (r *run) key() runKey { return runKey{r.id, r.number} }

// newRun adds a run to its worker and its task.
func (p *Pool) newRun(w *worker, id TaskID, number int64, t *task) *run {
	r := &run{id: id, number: number, task: t, worker: w, pace: fullPace}
	if t != nil {
		r.need = t.step.need
		t.runs = append(t.runs, r)
		t.step.active[w]++
		if t.step.rack == "" {
			t.step.rack = w.Rack
		}
	}
	w.add(r)
	return r
}

// dropRun takes a run that is over from its worker and its task.
func (p *Pool) dropRun(r *run) {
	r.state = runOver
	r.worker.remove(r)
	p.place = true
	t := r.task
	if t == nil {
		p.dropOrphan(r)
		return
	}
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	t.step.active[r.worker]--
	if t.step.active[r.worker] <= 0 {
		delete(t.step.active, r.worker)
	}
}

// endRun takes the end of a run. It returns whether the end has to be recorded.
func (p *Pool) endRun(now time.Time, r *run, end RunEnd, checkpoint string) bool {
	if r.state == runOver {
		return false
	}
	begun := r.state == runRunning || r.state == runAccepted
	p.dropRun(r)
	if r.task == nil {
		return false
	}
	if begun || end == EndSucceeded || end == EndFailed {
		p.markStarted(r.task.job())
	}
	p.learnEnd(now, r, end)
	if checkpoint == "" && end == EndLapsed {
		checkpoint = r.checkpoint
	}
	return p.settle(now, r.task, r, end, checkpoint)
}

// refused takes back a run that certainly never began.
func (p *Pool) refused(now time.Time, r *run) {
	p.dropRun(r)
	if r.task == nil || r.task.job().over() || r.task.done {
		return
	}
	if r.task.step.spec.GetGang() {
		p.settleGang(now, r.task, r, EndStopped)
		return
	}
	p.queueTask(now, r.task)
}

// stop ends a run; it is repeated until the run is gone.
func (p *Pool) stop(now time.Time, r *run, reason string) {
	if r.stopping || r.state == runOver {
		return
	}
	r.stopping = true
	r.stopReason = reason
	r.stopAt = now
	p.watch(r)
}

func (p *Pool) watch(r *run) {
	if !r.watched {
		r.watched = true
		p.attention = append(p.attention, r)
	}
}

// attend orders the stops that are due and resolves starts without an answer.
func (p *Pool) attend(now time.Time) {
	kept := p.attention[:0]
	for _, r := range p.attention {
		if r.state == runOver {
			continue
		}
		if !r.stopping && r.state == runUnknown {
			p.resolve(now, r)
		}
		switch {
		case r.stopping:
			p.orderStop(now, r)
		case r.state == runUnknown:
			p.wake(r.resolveAt)
		default:
			r.watched = false
			continue
		}
		kept = append(kept, r)
	}
	p.attention = kept
}

// resolve stops a start without an answer that a later list does not show. Without a list, tasks that may be at work
// are left alone until the lease has lapsed; others are stopped after a while.
func (p *Pool) resolve(now time.Time, r *run) {
	if now.Before(r.resolveAt) {
		return
	}
	listed := r.worker.listSent.After(r.unknownAt)
	persistent := r.task != nil && r.task.step.spec.GetPersistent()
	if listed || (!persistent && now.Sub(r.unknownAt) >= resolveBlind) {
		p.stop(now, r, noAnswer)
		return
	}
	r.resolveAt = now.Add(resolveAfter)
}

// unresolvedStop tells whether the run is being stopped only because its start had no answer, in vain so far.
func (r *run) unresolvedStop() bool {
	return r.stopping && r.stopReason == noAnswer && !r.stopAcked.set
}

// wanted tells whether the run may go on for itself.
func (r *run) wanted() bool {
	t := r.task
	return t != nil && len(t.runs) == 1 && !t.done && !t.job().over() && !t.step.spec.GetGang()
}

func (p *Pool) orderStop(now time.Time, r *run) {
	if now.Before(r.stopAt) {
		p.wake(r.stopAt)
		return
	}
	w := r.worker
	p.out.Orders = append(p.out.Orders, Order{
		Kind: OrderStop, Worker: w.ID, Address: w.Address, Born: w.Born, Task: r.id, Run: r.number,
	})
	p.decide("stop", r, r.stopReason)
	r.stopAt = now.Add(answerTime)
	p.wake(r.stopAt)
}
