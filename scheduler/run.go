package scheduler

import "time"

const (
	// unansweredStartWait is how long a start without an answer may stay unresolved before a stop is ordered.
	unansweredStartWait = 300 * time.Millisecond
	// unlistedStartWait is the same if no list of running tasks arrives from the worker.
	unlistedStartWait = 900 * time.Millisecond
	// stopRetryDelay is the time before a stop without an answer is ordered again.
	stopRetryDelay = 300 * time.Millisecond
	// stopAnswerTimeout is how long the answer to a stop may take before the stop is ordered again.
	stopAnswerTimeout = 1500 * time.Millisecond
	// maxLateStop is how much later a stop without an answer may still be carried out.
	maxLateStop = 3 * time.Second
)

// reasonNoAnswer is the stop reason of a run whose start was not answered.
const reasonNoAnswer = "start was not answered"

type runState int

const (
	// runOrdered: the start has been ordered and not answered yet.
	runOrdered runState = iota
	// runUnknown: no answer arrived or the order was outdated; the run may execute now or later, or may have ended.
	runUnknown
	// runAccepted: the worker has accepted the start.
	runAccepted
	// runRunning: a report has listed the run.
	runRunning
	// runOver: the run no longer executes and takes no capacity.
	runOver
)

// run is one attempt of a task on a worker. It counts against the worker's capacity from its order until it is over.
type run struct {
	id     TaskID
	number int64
	// task is nil while the job is unknown, and for a run without a task.
	task   *task
	worker *worker
	need   Resources
	// account is the account in which the run counts; nil without a workspace.
	account *account
	state   runState
	// address is where its start was sent; empty if another owner ordered it.
	address string
	// listedEarlier means that the incarnation has listed the run to an earlier owner.
	listedEarlier bool
	// until is the lease expiry that its start requested, on the worker's clock in ms.
	until     int64
	orderedAt time.Time
	// orderedClock is the latest reading of the worker's clock when the start was ordered.
	orderedClock int64
	runningSince time.Time
	// giveUpAt is when the run counts as over if the incarnation that may have accepted its start never reports.
	giveUpAt time.Time
	// answered is when the start was accepted, acceptedLater means by a later incarnation than it was sent to.
	answered      time.Time
	acceptedLater bool
	// begunClock is a reading of the worker's clock by which the run had begun, 0 if none is known.
	begunClock int64
	// charged means that a crash of the worker was added to the history of the task. polledAt is when the worker was last
	// polled for the trial of the task.
	charged  bool
	polledAt time.Time
	// onTrial means that the start is a trial. brokeOff means that the connection broke off before its answer, on a worker
	// that was heard from just before.
	onTrial, brokeOff bool

	stopping   bool
	stopReason string
	// stopAt is the earliest time of the next stop order. stopAcked is when the worker acknowledged a stop.
	stopAt    time.Time
	stopAcked time.Time
	// stopOrdered means that a stop has been ordered whose result is not known.
	stopOrdered bool
	// lateStopUntil is the time until which a stop without an answer may still be carried out.
	lateStopUntil time.Time
	watched       bool
	// unknownAt is when the outcome of the start became unknown, resolveAt when it is checked next.
	unknownAt time.Time
	resolveAt time.Time
	// born is the incarnation to which its start was sent, or that has listed it. provesEnds means that it was started only for its end.
	born       int64
	provesEnds bool
	// missingSince is when a list was received that proves the run absent; zero if none was, or one has listed it since.
	missingSince time.Time
	// lastReportSeq is the reportSeq of the latest list that contained the run.
	lastReportSeq int64
	percent       int
	// percentAt is when the percent last changed, percentClock the worker's clock then in ms.
	percentAt    time.Time
	percentClock int64
	tail         int64
	checkpoint   string
	resumed      bool
	// pace is the last acknowledged pace in percent, -1 if unknown. paceInFlight means that a change of pace has not
	// been answered yet.
	pace         int
	paceInFlight bool
	// speedBasePercent is the progress at speedBaseTime, from which the speed is measured.
	speedBasePercent int
	speedBaseTime    time.Time
}

// age returns the time since the start was ordered, or 0 if another owner ordered it.
func (r *run) age(now time.Time) time.Duration {
	if r.orderedAt.IsZero() {
		return 0
	}
	return now.Sub(r.orderedAt)
}

// listedBy reports whether the present incarnation of the worker has listed the run.
func (r *run) listedBy(w *worker) bool {
	return !w.replaced && (r.state == runRunning || r.listedEarlier)
}

// markProgress records that the run has made progress up to a reading of the worker's clock.
func (r *run) markProgress(now time.Time, reading int64) { r.percentAt, r.percentClock = now, reading }

// idleFor returns how long the run has certainly made no progress, by the latest list of its worker. The list may have been made before
// a pause of this owner, and not have been read until after it.
func (r *run) idleFor(now time.Time) time.Duration {
	return min(now.Sub(r.percentAt), time.Duration(r.worker.listClock-r.percentClock)*time.Millisecond)
}

func (r *run) key() runKey { return runKey{r.id, r.number} }

// newRun adds a run to its worker and its task.
func (p *Pool) newRun(w *worker, id TaskID, number int64, t *task) *run {
	r := &run{id: id, number: number, task: t, worker: w, pace: fullPacePercent}
	if t != nil {
		r.need = t.step.need
		t.runs = append(t.runs, r)
		t.step.active[w]++
		if t.step.rack == "" {
			t.step.rack = w.Rack
		}
		t.job().account.add(r)
	}
	w.add(r)
	return r
}

// dropRun removes a run that is over from its worker and its task.
func (p *Pool) dropRun(r *run) {
	r.state = runOver
	r.worker.remove(r)
	r.account.remove(r)
	p.placementDue = true
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

// endRun applies the end of a run. It returns whether the end must be recorded.
func (p *Pool) endRun(now time.Time, r *run, end RunEnd, checkpoint string) bool {
	if r.state == runOver {
		return false
	}
	begun := r.state == runRunning || r.state == runAccepted
	p.dropRun(r)
	if r.task == nil {
		j := p.jobs[r.id.Job]
		return j != nil && j.hasUnrecordedEnd(end)
	}
	if begun || end == EndSucceeded || end == EndFailed {
		p.markStarted(r.task.job())
	}
	p.learnFromEnd(now, r, end)
	if checkpoint == "" && end == EndLapsed {
		checkpoint = r.checkpoint
	}
	return p.applyRunEnd(now, r.task, r, end, checkpoint)
}

// revertStart removes a run that certainly never started and queues its task again.
func (p *Pool) revertStart(now time.Time, r *run) {
	p.dropRun(r)
	if r.task == nil || r.task.job().isTerminal() || r.task.done {
		return
	}
	if r.task.step.spec.GetGang() {
		p.applyGangRunEnd(now, r.task, r, EndStopped, "")
		return
	}
	p.enqueueTask(now, r.task)
}

// stop requests the stop of a run. The order is repeated until the run is gone.
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
		p.watchedRuns = append(p.watchedRuns, r)
	}
}

// processWatchedRuns orders the stops that are due and resolves unanswered starts.
func (p *Pool) processWatchedRuns(now time.Time) {
	kept := p.watchedRuns[:0]
	for _, r := range p.watchedRuns {
		if r.state == runOver {
			continue
		}
		if !r.stopping && r.state == runUnknown {
			p.resolveUnansweredStart(now, r)
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
	p.watchedRuns = kept
}

// resolveUnansweredStart stops a run whose start was not answered and which a later list does not show. Without a
// list, persistent tasks, which may be available, are left alone until their lease has expired; other tasks are stopped
// after unlistedStartWait.
func (p *Pool) resolveUnansweredStart(now time.Time, r *run) {
	if now.Before(r.resolveAt) {
		return
	}
	listed := r.worker.listSent.After(r.unknownAt)
	persistent := r.task != nil && r.task.step.spec.GetPersistent()
	if listed || (!persistent && now.Sub(r.unknownAt) >= unlistedStartWait) {
		p.stop(now, r, reasonNoAnswer)
		return
	}
	r.resolveAt = now.Add(unansweredStartWait)
}

// unresolvedStop reports whether the run is being stopped only because its start was not answered, and no stop has
// been acknowledged yet.
func (r *run) unresolvedStop() bool {
	return r.stopping && r.stopReason == reasonNoAnswer && r.stopAcked.IsZero()
}

// mayContinue reports whether the run would be allowed to go on if it were not being stopped.
func (r *run) mayContinue() bool {
	t := r.task
	return t != nil && len(t.runs) == 1 && !t.done && !t.job().isTerminal() && !t.step.spec.GetGang()
}

func (p *Pool) orderStop(now time.Time, r *run) {
	if now.Before(r.stopAt) {
		p.wake(r.stopAt)
		return
	}
	if r.stopOrdered && r.isUnansweredMove() {
		r.withdrawMove(now, true)
		return
	}
	r.stopOrdered = true
	w := r.worker
	p.out.Orders = append(p.out.Orders, Order{
		Kind: OrderStop, Worker: w.ID, Address: w.Address, Born: w.Born, Fence: p.fenceFor(w), Task: r.id, Run: r.number,
	})
	p.addDecision("stop", r, r.stopReason)
	r.stopAt = now.Add(stopAnswerTimeout)
	p.wake(r.stopAt)
}
