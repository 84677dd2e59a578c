package scheduler

import (
	"slices"
	"sort"
	"time"
)

const (
	// evacuationInterval is the time between checks of workers that are being emptied.
	evacuationInterval = 100 * time.Millisecond
	// drainMargin is how long before a draining worker leaves, in addition to StopTime, its remaining runs are moved at
	// once.
	drainMargin = time.Second
	// evacuationWait is the longest remaining time of a batch run that is left to end on an evacuated worker.
	evacuationWait = 3 * time.Second
)

// reasonMoved is the stop reason of a run that moves to another worker.
const reasonMoved = "moved to another worker"

// Evacuate replaces the set of workers to empty.
func (p *Pool) Evacuate(_ time.Time, ids []string) {
	p.evacuatingIDs = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.evacuatingIDs[id] = true
	}
	p.leavingHosts = nil
	for _, w := range p.sortedWorkers {
		p.markEvacuating(w)
	}
}

// SetDue replaces the set of workers whose hosts are due for upkeep. Persistent tasks are placed elsewhere if possible.
func (p *Pool) SetDue(ids []string) {
	due := make(map[string]bool, len(ids))
	for _, id := range ids {
		due[id] = true
	}
	for _, w := range p.sortedWorkers {
		w.due = due[w.ID]
	}
}

// SetLeavingHosts sets the hosts whose evacuation may have been ordered before this owner acquired the pool. Their
// workers are treated as being evacuated until the first call of Evacuate.
func (p *Pool) SetLeavingHosts(hosts []string) {
	p.leavingHosts = make(map[string]bool, len(hosts))
	for _, id := range hosts {
		p.leavingHosts[id] = true
	}
	for _, w := range p.sortedWorkers {
		p.markEvacuating(w)
	}
}

func (p *Pool) markEvacuating(w *worker) {
	wanted := p.evacuatingIDs[w.ID] || (w.Host != "" && p.leavingHosts[w.Host])
	if w.evacuating != wanted {
		w.evacuating = wanted
		w.emptyConfirmed = false
		p.placementDue = true
	}
}

// checkEvacuation moves tasks off workers that drain or are being evacuated.
func (p *Pool) checkEvacuation(now time.Time) {
	p.movingSteps = p.movingSteps[:0]
	var sources []*worker
	for _, w := range p.sortedWorkers {
		if len(w.runs) > 0 && !w.replaced && (w.Draining || w.evacuating) {
			sources = append(sources, w)
		}
	}
	if len(sources) == 0 {
		return
	}
	// Draining workers leave in any case, so they use up the disruption budgets first.
	sort.SliceStable(sources, func(a, b int) bool { return sources[a].Draining && !sources[b].Draining })
	usable := p.usableWorkers(now)
	p.wake(now.Add(evacuationInterval))
	for _, w := range sources {
		for _, r := range w.runs {
			p.evacuateRun(now, r, usable)
		}
	}
}

// evacuateRun stops a run that should move if another worker has room for it.
func (p *Pool) evacuateRun(now time.Time, r *run, usable []*worker) {
	if r.task == nil || r.state != runRunning || r.task.job().isTerminal() {
		return
	}
	persistent := r.task.step.spec.GetPersistent()
	if r.stopping || now.Before(r.stopAt) || !p.shouldMove(now, r) {
		if r.stopping && persistent {
			p.movingSteps = append(p.movingSteps, r.task.step)
		}
		return
	}
	if persistent && r.task.step.exceedsLimit() {
		// The limit would refuse the restart elsewhere.
		return
	}
	if persistent {
		p.movingSteps = append(p.movingSteps, r.task.step)
	}
	if p.hasRoomElsewhere(now, r, usable) {
		r.task.moves++
		p.stop(now, r, reasonMoved)
	}
}

// isUnansweredMove reports whether the run is being stopped to move, and its worker has not acknowledged a stop.
func (r *run) isUnansweredMove() bool {
	return r.stopReason == reasonMoved && r.stopAcked.IsZero() && r.mayContinue()
}

// withdrawMove has the move of a run decided again, as the disruption budget may have been used up since the stop was ordered. If the
// stop may have been sent, the worker may carry it out until lateStopUntil, even if lists contain the run in the meantime.
func (r *run) withdrawMove(now time.Time, sent bool) {
	r.stopping, r.stopOrdered = false, false
	if sent {
		r.lateStopUntil = now.Add(maxLateStop)
	}
	r.percent = 0
	r.markProgress(now, r.worker.clock.lowerBound(now))
}

// reserveForMoves withholds up to limit workers from batch tasks, so that persistent tasks can move to them.
func (p *Pool) reserveForMoves(usable []*worker, limit int) []*worker {
	for _, s := range p.movingSteps[:min(len(p.movingSteps), limit)] {
		best := -1
		for i, w := range usable {
			if s.need.fits(w.Capacity) && (best < 0 || w.free().CPUMilli > usable[best].free().CPUMilli) {
				best = i
			}
		}
		if best >= 0 {
			usable = slices.Concat(usable[:best], usable[best+1:])
		}
	}
	return usable
}

func (p *Pool) shouldMove(now time.Time, r *run) bool {
	s := r.task.step
	w := r.worker
	mustMove := w.Draining && now.Add(p.cfg.StopTime+drainMargin).After(w.drainDeadline)
	if s.spec.GetPersistent() {
		// The task itself need not be unavailable: it may have become available since the last report.
		return mustMove || (s.disruptionAllowed(now, r.task) && p.takeover.stopsSettled(now, p.cfg.StopTime))
	}
	timeLeft := r.remaining(now)
	if s.spec.GetGang() && !s.spec.GetSavesProgress() {
		return false
	}
	switch {
	case !s.spec.GetSavesProgress():
		return false
	case mustMove && now.Add(timeLeft).After(w.drainDeadline):
		return true
	case w.Draining && !w.evacuating:
		return false
	default:
		// Hosts that are due for upkeep are evacuated once each, so that a run cannot move on for ever.
		return (r.task.moves == 0 || w.due) && timeLeft > evacuationWait+r.unsaved(now, p.cfg.SaveInterval)
	}
}

// unsaved returns the working time of a run that would be lost if it were stopped now.
func (r *run) unsaved(now time.Time, saveInterval time.Duration) time.Duration {
	if saveInterval <= 0 {
		return 0
	}
	return r.age(now) % saveInterval
}

func (p *Pool) hasRoomElsewhere(now time.Time, r *run, usable []*worker) bool {
	s := r.task.step
	for _, w := range usable {
		if w != r.worker && s.need.fits(w.free()) && p.permits(now, s, w) {
			return true
		}
	}
	return false
}

// isAvailable reports whether a persistent run works at its full rate and is not being stopped.
func (r *run) isAvailable() bool {
	const availablePercent = 100
	return r.state == runRunning && !r.stopping && r.percent >= availablePercent
}

// disruptionAllowed reports whether the task may be stopped, counting the other tasks of its step that are
// unavailable. A step without a disruption budget is treated as if its budget were one. A task that was given up counts as
// unavailable too: its callers miss it like any other, so the host of another task stays up although a wave waits for it.
func (s *step) disruptionAllowed(now time.Time, t *task) bool {
	budget := max(1, s.spec.GetMayMiss())
	for i := range s.tasks {
		other := &s.tasks[i]
		if other == t || other.isAvailable(now) {
			continue
		}
		budget--
	}
	return budget > 0
}

// isAvailable reports whether a run of the task is known to be available. A run on a silent worker may have ended, and
// so may one whose unanswered stop may still be carried out.
func (t *task) isAvailable(now time.Time) bool {
	for _, r := range t.runs {
		if r.isAvailable() && !r.worker.silent(now) && !now.Before(r.lateStopUntil) {
			return true
		}
	}
	return false
}

// isSafeToStop reports whether stopping the run's worker now would lose no work and stay within the disruption
// budget.
func (p *Pool) isSafeToStop(now time.Time, r *run) bool {
	if r.task == nil || r.task.done || r.task.job().isTerminal() {
		return true
	}
	s := r.task.step
	if !s.spec.GetPersistent() {
		return false
	}
	return s.active[r.worker] <= 1 && s.disruptionAllowed(now, r.task) && p.takeover.stopsSettled(now, p.cfg.StopTime)
}
