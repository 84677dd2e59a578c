package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// A trial is a start of a task that is suspected of crashing its workers. Nothing else starts on the worker until the run
// is cleared, so that a crash tells the task apart from those that merely run beside it.
const (
	// From strictTrialCrashes on, a trial is strict: it starts only beside settled runs. The pool keeps a worker free for one
	// task at a time, for up to strictTrialWait, and for the same task for at most strictTrialLimit: the task is most likely the
	// culprit, so that it can wait, and its worker is likely to crash.
	strictTrialCrashes = 2
	strictTrialWait    = 2 * time.Second
	strictTrialLimit   = 10 * time.Second
	// While less than trialUtilization of the pool is used, several strict trials take place at once, and a task that has waited
	// for overdueTrialWait starts on any worker with room that has no other trial: no task may wait for 3 s beside an unused half.
	trialUtilization = 0.5
	overdueTrialWait = 1500 * time.Millisecond
	// A trial starts on a worker that was heard from within trialFreshness. If the connection then breaks off within
	// brokenTime, and the worker turns out to have crashed, the start has begun there. A worker that does not answer a poll
	// within trialPollTimeout gets no trial.
	trialFreshness   = 100 * time.Millisecond
	brokenTime       = 100 * time.Millisecond
	trialPollTimeout = 300 * time.Millisecond
	// trialRecordWait bounds how long a trial waits until it is recorded, and pendingTrialLimit how long one that is recorded
	// and does not start counts as about to start.
	trialRecordWait   = time.Second
	pendingTrialLimit = 2 * time.Second
	// trialPollInterval is the time between two polls of a worker with a trial that should be over.
	trialPollInterval = 100 * time.Millisecond
	// At most one worker in trialDivisor has a trial at any time, or one idle worker in idleTrialDivisor if these are more.
	trialDivisor     = 4
	idleTrialDivisor = 2
)

// countSuspected returns the number of unfinished tasks whose next start is a trial.
func (s *step) countSuspected() int {
	return lo.CountBy(s.tasks, func(t task) bool { return t.crashes.suspected && !t.done })
}

// countGivenUp returns the number of tasks that are not started again.
func (s *step) countGivenUp() int {
	return lo.CountBy(s.tasks, func(t task) bool { return t.crashes.givenUp })
}

// chooseForTrial returns the worker for the trial of a suspected task, or nil if the trial has to wait.
func (p *Pool) chooseForTrial(now time.Time, t *task, usable []*worker) *worker {
	if p.awaitsTrialOfSibling(now, t) {
		return nil
	}
	mayReserve := t.needsStrictTrial() && p.acquireStrictTrial(now, t)
	if t.needsStrictTrial() && !mayReserve && p.utilization >= trialUtilization {
		return nil
	}
	w := p.choose(now, t, usable)
	if w == nil {
		if mayReserve {
			p.reserveTrial(now, t, usable)
		}
		if overdue := t.waitingSince.Add(overdueTrialWait); now.Before(overdue) && p.utilization < trialUtilization {
			p.placeAgainAt(overdue)
		}
		return nil
	}
	// Only a trial that is about to start is recorded, since a later owner presumes that it has crashed its worker.
	if !p.isFreshForTrial(now, t, w) || !p.isTrialRecorded(now, t) {
		return nil
	}
	return w
}

// isTrialRecorded reports whether the task may start as far as the record of its trial is concerned. It requests the
// record if needed. The task does not wait longer than trialRecordWait for the store.
func (p *Pool) isTrialRecorded(now time.Time, t *task) bool {
	c := &t.crashes
	if !c.suspected {
		return true
	}
	j := t.job()
	if !c.onTrial {
		c.onTrial = true
		p.markUrgent(now, j)
		c.trialVersion, c.trialWaitingSince = j.rec.version, now
		p.pendingTrials = append(p.pendingTrials, t)
	}
	if j.rec.recorded >= c.trialVersion {
		return true
	}
	j.awaitsTrialRecord = true
	limit := c.trialWaitingSince.Add(trialRecordWait)
	p.wake(limit)
	return !now.Before(limit)
}

// isFresh reports whether the worker was heard from so recently that it is all but certain to receive a call.
func (w *worker) isFresh(now time.Time) bool { return now.Sub(w.lastReport) <= trialFreshness }

// isFreshForTrial reports whether the worker was heard from just now. If not, it requests a poll.
func (p *Pool) isFreshForTrial(now time.Time, t *task, w *worker) bool {
	if w.isFresh(now) {
		return true
	}
	if !w.isPolledForTrial() {
		w.trialPolledAt, w.trialPolledFor = now, t
		p.out.Poll = append(p.out.Poll, w.ID)
		p.wake(now.Add(trialPollTimeout))
	}
	return false
}

// isPolledForTrial reports whether a poll of the worker for a trial that is to start there has no answer yet.
func (w *worker) isPolledForTrial() bool { return w.trialPolledAt.After(w.lastReport) }

// isPolledForOther reports whether such a poll is meant for a task other than this one and the other members of its gang.
func (w *worker) isPolledForOther(t *task) bool {
	other := w.trialPolledFor
	return w.isPolledForTrial() && other != t && (other.step != t.step || !t.step.spec.GetGang())
}

// areFreshForTrials reports whether the workers chosen for the suspected tasks of a gang were all heard from just now.
func (p *Pool) areFreshForTrials(now time.Time, s *step, chosen []*worker) bool {
	fresh := true
	for i, w := range chosen {
		if s.tasks[i].crashes.suspected && !p.isFreshForTrial(now, &s.tasks[i], w) {
			fresh = false
		}
	}
	return fresh
}

// areTrialsRecorded reports whether a gang may start as far as the records of its trials are concerned.
func (p *Pool) areTrialsRecorded(now time.Time, s *step) bool {
	recorded := true
	for i := range s.tasks {
		if !p.isTrialRecorded(now, &s.tasks[i]) {
			recorded = false
		}
	}
	return recorded
}

// beginTrial makes the run of a suspected task the trial of its worker.
func (p *Pool) beginTrial(now time.Time, r *run) {
	if !r.task.crashes.suspected {
		return
	}
	r.onTrial = true
	r.worker.trials++
	r.worker.reservedFor = nil
	p.trials = append(p.trials, r)
	p.wake(now.Add(r.task.crashes.trialTime()))
}

// checkTrials ends the trials whose run is over or cleared, and polls the workers of those that should be.
func (p *Pool) checkTrials(now time.Time) {
	kept := p.trials[:0]
	for _, r := range p.trials {
		if r.state != runOver && !r.isCleared() {
			kept = append(kept, r)
			p.pollTrial(now, r)
			continue
		}
		r.worker.trials--
		p.placementDue = true
		c := &r.task.crashes
		if r.state != runOver {
			c.suspected, c.beside = false, 0
		}
		if c.onTrial && !r.charged && !r.task.job().isTerminal() {
			c.onTrial = false
			p.markChanged(now, r.task.job())
		}
	}
	clear(p.trials[len(kept):])
	p.trials = kept
}

func (p *Pool) pollTrial(now time.Time, r *run) {
	due := r.orderedAt.Add(r.task.crashes.trialTime())
	if earliest := r.polledAt.Add(trialPollInterval); earliest.After(due) {
		due = earliest
	}
	if now.Before(due) {
		p.wake(due)
		return
	}
	r.polledAt = now
	p.out.Poll = append(p.out.Poll, r.worker.ID)
	p.wake(now.Add(trialPollInterval))
}

// permitsTrials reports whether the task may start on the worker as far as trials are concerned.
func (p *Pool) permitsTrials(now time.Time, t *task, w *worker) bool {
	if w.trials > 0 || w.isReservedForOther(now, t) {
		return false
	}
	if !t.crashes.suspected {
		return true
	}
	if w.isPolledForTrial() && now.Sub(w.trialPolledAt) > trialPollTimeout {
		return false
	}
	if p.isTrialOverdue(now, t) {
		// Overdue tasks poll a worker each, so that their waits for the answers overlap.
		return !w.isPolledForOther(t)
	}
	if p.countTrials(now, t) >= p.trialLimit() {
		return false
	}
	if !t.needsStrictTrial() || p.strictTrial == t && now.Sub(p.strictSince) >= strictTrialWait {
		return true
	}
	return !slices.ContainsFunc(w.runs, func(r *run) bool { return !r.isSettled() })
}

// isTrialOverdue reports whether the task has waited so long for its trial that the limits of trials no longer apply to it.
func (p *Pool) isTrialOverdue(now time.Time, t *task) bool {
	return now.Sub(t.waitingSince) >= overdueTrialWait && p.utilization < trialUtilization
}

// trialLimit returns how many workers may have a trial at once. A crash of an idle worker ends nothing.
func (p *Pool) trialLimit() int {
	return max(1, len(p.sortedWorkers)/trialDivisor, p.idleWorkers/idleTrialDivisor)
}

// countTrials counts the trials other than the task's own that are about to start, or whose outcome should be known soon. The
// worker of an overdue one has probably crashed, which may take long to be confirmed.
func (p *Pool) countTrials(now time.Time, t *task) int {
	n := 0
	for _, r := range p.trials {
		if now.Sub(r.orderedAt) < r.task.crashes.trialTime()+trialPollTimeout {
			n++
		}
	}
	kept := p.pendingTrials[:0]
	for _, other := range p.pendingTrials {
		c := &other.crashes
		if !c.onTrial || len(other.runs) > 0 || other.job().isTerminal() || now.Sub(c.trialWaitingSince) > pendingTrialLimit {
			continue
		}
		kept = append(kept, other)
		if other != t && (other.step != t.step || !t.step.spec.GetGang()) {
			n++
		}
	}
	p.pendingTrials = kept
	return n
}

// needsStrictTrial reports whether the next trial of the task is a strict one. Members of a gang start together, so that
// theirs never are.
func (t *task) needsStrictTrial() bool {
	seen := t.crashes.total()
	if t.crashes.presumed {
		seen--
	}
	return t.crashes.suspected && seen >= strictTrialCrashes && !t.step.spec.GetGang()
}

// acquireStrictTrial reports whether the pool may keep a worker free for the task, and makes it so if no other task holds that
// right.
func (p *Pool) acquireStrictTrial(now time.Time, t *task) bool {
	held := p.strictTrial != nil && p.strictTrial.needsStrictTrial() && !p.strictTrial.done && !p.strictTrial.waitsForLimit() &&
		!p.strictTrial.job().isTerminal() && now.Sub(p.strictSince) < strictTrialLimit
	if !held {
		p.strictTrial, p.strictSince = t, now
	}
	return p.strictTrial == t
}

func (w *worker) isReservedForOther(now time.Time, t *task) bool {
	if w.reservedFor == nil {
		return false
	}
	other := w.reservedFor
	if !now.Before(w.reservedUntil) || len(other.runs) > 0 || other.done || other.job().isTerminal() {
		w.reservedFor = nil
		return false
	}
	return other != t
}

// reserveTrial keeps the least used worker free for a strict trial that finds no worker, so that a busy pool cannot delay
// it for ever.
func (p *Pool) reserveTrial(now time.Time, t *task, usable []*worker) {
	var best *worker
	for _, w := range usable {
		if w.reservedFor == t && now.Before(w.reservedUntil) {
			return
		}
		if w.trials > 0 || w.isReservedForOther(now, t) || !t.step.need.fits(w.Capacity) || !p.permits(now, t.step, w) {
			continue
		}
		if best == nil || w.used.CPUMilli < best.used.CPUMilli {
			best = w
		}
	}
	if best != nil {
		best.reservedFor, best.reservedUntil = t, now.Add(strictTrialWait)
	}
}

// trialCost is the cost of risking a crash of the worker for the trial of a task: the work that runs there, the runs
// that would make the cause of the crash uncertain, and the wait for a sign of life.
func trialCost(now time.Time, t *task, w *worker) float64 {
	const (
		usedWeight        = 4
		persistentPenalty = 2
		unclearedPenalty  = 4
		stalePenalty      = 1
	)
	if !t.crashes.suspected {
		return 0
	}
	cost := 0.0
	if !w.isFresh(now) {
		cost += stalePenalty
	}
	cost += usedWeight * float64(w.used.CPUMilli) / math.Max(1, float64(w.Capacity.CPUMilli))
	for _, r := range w.runs {
		if r.task != nil && r.task.step.spec.GetPersistent() {
			cost += persistentPenalty
		}
	}
	if slices.ContainsFunc(w.runs, func(r *run) bool { return !r.isCleared() }) {
		cost += unclearedPenalty
	}
	return cost
}
