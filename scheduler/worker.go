package scheduler

import (
	"sort"
	"time"
)

const (
	// silenceTimeout is how long after its last report a worker counts as silent. Its lease is then no longer
	// extended.
	silenceTimeout = 2500 * time.Millisecond
	// leaseExpiryMargin is added to the time by which a lease has expired.
	leaseExpiryMargin = 100 * time.Millisecond
	// startAnswerTimeout is how long the answer to a start may take before the worker gets no more tasks.
	startAnswerTimeout = 400 * time.Millisecond
	// departedRetention is how long a departed worker is kept before it is dropped.
	departedRetention = 30 * time.Second
)

// worker is the state of one worker id.
type worker struct {
	Worker
	// describedBorn is the incarnation to which the registry's description, such as the capacity, belongs; 0 if unknown.
	describedBorn int64
	// incarnation is the part of the fence that tells the incarnations apart; see fenceFor.
	incarnation uint64
	// unsettled means that calls meant for an earlier incarnation may have extended the leases here beyond those that a later owner
	// waits for.
	unsettled bool
	// awaitsConfirmation means that the ownership was not confirmed since this incarnation, which has returned under the id, first
	// answered: a later owner may know of the earlier one only, and this one would not reject an owner that was replaced.
	awaitsConfirmation bool
	clock              workerClock
	// reported means that this incarnation has answered a hold of this owner with the present fence, since reportedAt.
	reported   bool
	reportedAt time.Time
	lastReport time.Time
	// heardAt is the address from which this incarnation last answered.
	heardAt string
	// unreachable means that a hold has got no answer since lastReport.
	unreachable bool
	// listClock is the worker's clock at the latest list of running tasks.
	listClock int64
	// lastClock is the latest reading of the incarnation's clock.
	lastClock int64
	// listSent is when the hold that returned that list was sent.
	listSent time.Time
	// requestedUntil is the latest lease expiry requested of this incarnation, assumedUntil the latest that calls of others may
	// have led to; both on the worker's clock in ms.
	requestedUntil, assumedUntil int64
	// nextLeaseEnd is when the leases have expired that a later incarnation has granted which is known only by its answers to starts:
	// a lower reading of its clock. Zero without one.
	nextLeaseEnd time.Time
	// replaced means that another incarnation has answered at its address, since replacedAt.
	replaced   bool
	replacedAt time.Time
	departed   bool
	departedAt time.Time

	runs  []*run
	byKey map[runKey]*run
	used  Resources

	// expired holds the runs of the incarnation whose lease has expired, until it answers again or is known to have ended.
	expired []*run

	ends endLog
	acks ackLog
	// heldEarlier means that an earlier owner may have held an earlier incarnation or this one, returned that this one has returned under
	// the id since.
	heldEarlier, returned bool
	// endsHidden means that the incarnation has reported, and that ends of runs of earlier owners may be beyond those that it lists.
	endsHidden bool
	health     workerHealth
	// pausedUntil prevents starts after refusals. unansweredStarts counts the starts without a conclusive answer since
	// the latest list of running tasks.
	pausedUntil time.Time
	// sealed means that nothing starts here until Unseal, sealedAt since when.
	sealed           bool
	sealedAt         time.Time
	pauses           int
	unansweredStarts int
	evacuating       bool
	// preemptingFor is the step for which runs here are preempted.
	preemptingFor *step
	// drainDeadline is the earliest time at which a draining worker leaves.
	drainDeadline time.Time
	// emptyConfirmed means that a report has confirmed during the evacuation that nothing runs here.
	emptyConfirmed bool
	// due means that the worker's host is due for upkeep.
	due bool
	// backfillRuns counts the backfill runs here, backfillCPUMilli is the CPU that they request.
	backfillRuns     int
	backfillCPUMilli int64
	pace             paceState
	// trials counts the trials here, beside which nothing else starts. reservedFor is the task for whose trial the worker
	// is kept free until reservedUntil.
	trials        int
	reservedFor   *task
	reservedUntil time.Time
	// trialPolledAt is when the worker was polled for a trial of trialPolledFor that is to start here.
	trialPolledAt  time.Time
	trialPolledFor *task
}

type runKey struct {
	task TaskID
	run  int64
}

// SetWorkers sets the complete list of registered workers of the pool. Workers that are missing have left.
func (p *Pool) SetWorkers(now time.Time, ws []Worker) {
	seen := make(map[string]bool, len(ws))
	for i := range ws {
		seen[ws[i].ID] = true
		p.setWorker(now, &ws[i])
	}
	for _, w := range p.sortedWorkers {
		if !seen[w.ID] && !w.departed {
			w.departed = true
			w.departedAt = now
		}
	}
	p.takeover.registryLoaded = true
}

func (p *Pool) setWorker(now time.Time, update *Worker) {
	w := p.workers[update.ID]
	if w == nil {
		p.addWorker(now, update)
		return
	}
	w.departed = false
	if update.Born < w.Born && update.Born != 0 {
		// The registry lags behind what the worker itself has reported.
		return
	}
	incarnation := max(w.Born, update.Born)
	switch {
	case incarnation == w.Born || w.Born == 0:
	case w.reported:
		// Only an answer of the worker proves that it has restarted.
		incarnation = w.Born
		p.out.Poll = append(p.out.Poll, w.ID)
	default:
		p.handleRestart(now, w, reasonLaterRegistered)
	}
	if w.Draining != update.Draining || w.Unlisted != update.Unlisted || w.Capacity != update.Capacity || w.replaced {
		p.placementDue = true
	}
	p.updateDrainDeadline(now, w, update)
	w.Worker = *update
	w.describedBorn = update.Born
	w.Born = incarnation
	p.markEvacuating(w)
}

func (p *Pool) addWorker(now time.Time, info *Worker) {
	w := &worker{Worker: *info, describedBorn: info.Born, byKey: map[runKey]*run{}, listClock: -1}
	w.lastReport = now
	w.unsettled = !info.Unused && (info.RecordedUnsettled || info.RecordedBorn != info.Born)
	w.heldEarlier = !info.Unused && (info.RecordedBorn != 0 || p.takeover.rosterIncomplete)
	w.returned = w.unsettled
	p.raiseFence(w)
	p.markEvacuating(w)
	w.pace.percent = fullPacePercent
	w.drainDeadline = now.Add(info.DrainLeft)
	p.workers[info.ID] = w
	at := sort.Search(len(p.sortedWorkers), func(i int) bool { return p.sortedWorkers[i].ID >= info.ID })
	p.sortedWorkers = append(p.sortedWorkers, nil)
	copy(p.sortedWorkers[at+1:], p.sortedWorkers[at:])
	p.sortedWorkers[at] = w
	if !info.Unused {
		p.takeover.expect(now, info.ID)
	}
}

// updateDrainDeadline sets the drain deadline. While the worker drains, it only moves to an earlier time.
func (p *Pool) updateDrainDeadline(now time.Time, w *worker, update *Worker) {
	if !update.Draining {
		return
	}
	deadline := now.Add(update.DrainLeft)
	if !w.Draining || deadline.Before(w.drainDeadline) {
		w.drainDeadline = deadline
	}
}

// handleRestart ends the runs that the earlier incarnation had listed. A call may be unable to tell incarnations with
// the same id apart, so a start whose run was never listed may have reached, or may yet reach, the next one. Its
// answer or a list resolves this.
func (p *Pool) handleRestart(now time.Time, w *worker, reason string) {
	p.endIncarnation(now, w, reason, func(r *run) bool { return r.state == runRunning })
	w.replaced = false
	p.keepUnansweredStarts(now, w)
}

// keepUnansweredStarts keeps the remaining runs of an incarnation that has ended for as long as a later one may execute them. Which pace
// is in force there is unknown, as is whether a stop was carried out.
func (p *Pool) keepUnansweredStarts(now time.Time, w *worker) {
	wait := maxLeaseDuration(p.cfg.MaxLease)
	kept := 0
	for _, r := range w.runs {
		r.stopAcked, r.missingSince = time.Time{}, time.Time{}
		r.stopAt = now
		if r.isBackfill() {
			r.pace, r.paceInFlight = -1, false
		}
		if r.giveUpAt.IsZero() {
			r.giveUpAt = now.Add(wait)
			kept++
		}
	}
	if kept > 0 {
		p.addStartsKept(w, kept, wait)
	}
}

// endIncarnation ends those runs of a restarted or replaced incarnation for which ends returns true, and resets the
// state that belongs to the incarnation.
func (p *Pool) endIncarnation(now time.Time, w *worker, reason string, ends func(*run) bool) {
	p.addWorkerEnded(now, w, reason)
	if !w.replaced && !w.Draining && w.trials == 0 && !p.hasUntried(w) {
		p.recordRestart(now, w)
	}
	if w.mayCrash() {
		p.addCrash(now, w, reason)
		p.chargeCrash(now, w)
	}
	p.endRuns(now, w, reason, ends)
	p.raiseFence(w)
	w.unsettled = true
	w.clock = workerClock{}
	w.reported = false
	w.listClock = -1
	w.lastClock = 0
	w.heardAt = ""
	w.expired = nil
	w.requestedUntil, w.assumedUntil = 0, 0
	w.nextLeaseEnd = time.Time{}
	w.ends = endLog{}
	w.acks.reset()
	w.returned = true
	w.endsHidden = false
	w.unansweredStarts = 0
	w.emptyConfirmed = false
	w.unreachable = false
	w.lastReport = now
	p.wakePlacement(now)
}

// endRuns ends those runs of a worker for which ends returns true.
func (p *Pool) endRuns(now time.Time, w *worker, reason string, ends func(*run) bool) {
	for _, r := range append([]*run(nil), w.runs...) {
		if ends(r) {
			p.awaitLossConfirmed(now, r)
			p.addLost(now, r, reason)
			p.endRun(now, r, EndLapsed, "")
		}
	}
}

// mayCrash reports whether an end of the current incarnation would be unexpected. A worker that is being evacuated is
// ended by order only after its runs.
func (w *worker) mayCrash() bool {
	return !w.replaced && !w.Draining && (!w.evacuating || len(w.runs) > 0)
}

// checkWorkers ends the runs of workers whose lease has expired and drops departed workers.
func (p *Pool) checkWorkers(now time.Time) {
	kept := p.sortedWorkers[:0]
	p.hidingWorkers = p.hidingWorkers[:0]
	for _, w := range p.sortedWorkers {
		p.checkLease(now, w)
		p.checkHiddenEnds(now, w)
		p.checkReturned(now, w)
		p.settle(now, w)
		if w.departed && !w.sealed && len(w.runs) == 0 && now.Sub(w.departedAt) > departedRetention {
			delete(p.workers, w.ID)
			continue
		}
		kept = append(kept, w)
	}
	p.sortedWorkers = kept
}

func (w *worker) silent(now time.Time) bool {
	return now.Sub(w.lastReport) > silenceTimeout
}

// isExcluded reports whether the worker is gone or must get no new tasks until its listing changes.
func (w *worker) isExcluded() bool {
	return w.sealed || w.replaced || w.departed || w.Draining || w.Unlisted || w.evacuating || !w.isDescribed()
}

// isDescribed reports whether the registry describes the present incarnation, as far as is known. Another incarnation may
// have another capacity and other labels.
func (w *worker) isDescribed() bool { return w.describedBorn == 0 || w.describedBorn == w.Born }

// usable reports whether the worker may be given new tasks.
func (w *worker) usable(now time.Time) bool {
	if !w.reported || w.awaitsConfirmation || !w.isRecorded() || !w.clock.known || w.isExcluded() || w.unansweredStarts > 0 {
		return false
	}
	return !w.silent(now) && !now.Before(w.pausedUntil) && !w.slowToAnswer(now)
}

// slowToAnswer reports whether a start has been unanswered for longer than startAnswerTimeout, since the next one would
// probably be too.
func (w *worker) slowToAnswer(now time.Time) bool {
	for _, r := range w.runs {
		if r.state == runOrdered && now.Sub(r.orderedAt) > startAnswerTimeout {
			return true
		}
	}
	return false
}

func (w *worker) free() Resources {
	return Resources{
		CPUMilli: w.Capacity.CPUMilli - w.used.CPUMilli,
		MemoryMB: w.Capacity.MemoryMB - w.used.MemoryMB,
		GPU:      w.Capacity.GPU - w.used.GPU,
	}
}

func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// add reserves capacity for the run.
func (w *worker) add(r *run) {
	w.runs = append(w.runs, r)
	w.byKey[r.key()] = r
	w.used = w.used.plus(r.need)
	w.emptyConfirmed = false
	if r.isBackfill() {
		w.backfillRuns++
		w.backfillCPUMilli += r.task.step.spec.GetCpuMilli()
	}
}

// remove frees the capacity of the run.
func (w *worker) remove(r *run) {
	delete(w.byKey, r.key())
	for i, x := range w.runs {
		if x == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			break
		}
	}
	w.used = w.used.minus(r.need)
	if r.isBackfill() {
		w.backfillRuns--
		w.backfillCPUMilli -= r.task.step.spec.GetCpuMilli()
	}
}

// pause prevents starts for the base time, doubled with each refusal since the last accepted start, up to maxDoublings
// times.
func (w *worker) pause(now time.Time, base time.Duration) {
	const maxDoublings = 4
	w.pausedUntil = now.Add(base << min(w.pauses, maxDoublings))
	w.pauses++
}

func (a Resources) plus(b Resources) Resources {
	return Resources{a.CPUMilli + b.CPUMilli, a.MemoryMB + b.MemoryMB, a.GPU + b.GPU}
}

func (a Resources) minus(b Resources) Resources {
	return Resources{a.CPUMilli - b.CPUMilli, a.MemoryMB - b.MemoryMB, a.GPU - b.GPU}
}

func (a Resources) fits(b Resources) bool {
	return a.CPUMilli <= b.CPUMilli && a.MemoryMB <= b.MemoryMB && a.GPU <= b.GPU
}
