package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/agateturn/agateturn/contention"
)

const (
	// preemptionInterval is the minimum time between two preemption checks.
	preemptionInterval = 150 * time.Millisecond
	// minPreemptionGain is the minimum time that preemption must save compared to waiting.
	minPreemptionGain = 500 * time.Millisecond
	// The gain must be at least minGainToLossRatio times the work that is lost.
	minGainToLossRatio = 2
	// maxUnsavedPreemptAge is the age below which a run that saves no progress may be preempted.
	maxUnsavedPreemptAge = 300 * time.Millisecond
	// maxTaskPreemptions bounds how often a task is preempted. At most one worker in preemptionDivisor is being freed
	// at any time.
	maxTaskPreemptions = 1
	preemptionDivisor  = 4
	// maxCountedWait caps the wait that preemption is credited with saving, since its end may be unknown.
	maxCountedWait = 5 * time.Second
)

// reasonPreempted is the stop reason of a run that makes room for a task of a higher-priority queue.
const reasonPreempted = "preempted by a queue of higher priority"

// checkPreemption stops batch runs to make room for tasks that would otherwise wait too long and whose queue has a lower
// priority number. The freed room is reserved for the step of these tasks; see availableTo. Preemption terminates
// because a task yields only to lower numbers, and at most maxTaskPreemptions times.
func (p *Pool) checkPreemption(now time.Time) {
	if len(p.waitingSteps) == 0 || p.sendBudget.exhausted() || now.Sub(p.lastPreemptionAt) < preemptionInterval {
		return
	}
	p.lastPreemptionAt = now
	if !p.mayPreempt() {
		return
	}
	usable := p.usableWorkers(now)
	limit := max(1, len(usable)/preemptionDivisor)
	for _, c := range p.rank(now) {
		if c.Class > contention.ClassOnTime || p.takeover.blocksStarts() || !p.mayStart(now) || c.step.spec.GetGang() {
			continue
		}
		if p.awaitsEnds(c.step) {
			continue
		}
		waiting := p.withinLimit(c.step, c.step.countStartable(now)) - p.countPreempting(c.step)
		for ; waiting > 0 && p.countPreempting(nil) < limit; waiting-- {
			if !p.preemptOnce(now, c, usable) {
				break
			}
		}
	}
}

// countStartable counts the waiting tasks that may start now.
func (s *step) countStartable(now time.Time) int {
	n := 0
	for _, index := range s.ready {
		if !now.Before(s.tasks[index].notBefore) {
			n++
		}
	}
	return n
}

// mayPreempt reports whether some waiting step has a lower priority number than some batch run.
func (p *Pool) mayPreempt() bool {
	lowest, highest := math.MaxInt, math.MinInt
	for _, s := range p.waitingSteps {
		if !s.held() {
			lowest = min(lowest, p.termsOf(s.occ.job).priority)
		}
	}
	for _, w := range p.sortedWorkers {
		for _, r := range w.runs {
			if r.task != nil && !r.task.step.spec.GetPersistent() {
				highest = max(highest, p.termsOf(r.task.job()).priority)
			}
		}
	}
	return lowest < highest
}

// countPreempting counts the workers on which runs are being preempted for the step, or for any step if it is nil.
// It clears preemptingFor of the workers on which preemption is over.
func (p *Pool) countPreempting(s *step) int {
	n := 0
	for _, w := range p.sortedWorkers {
		if w.preemptingFor == nil {
			continue
		}
		if !w.isPreempting() {
			w.preemptingFor = nil
			continue
		}
		if s == nil || w.preemptingFor == s {
			n++
		}
	}
	return n
}

// availableTo reports whether the step may use the worker's room. While runs here are being preempted, the room is
// kept for the step that they are preempted for.
func (w *worker) availableTo(s *step) bool {
	return w.preemptingFor == nil || w.preemptingFor == s || !w.isPreempting()
}

func (w *worker) isPreempting() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stopping && r.stopReason == reasonPreempted })
}

// preemptOnce preempts runs on one worker to make room for a task of the step, on the worker where the least work is
// lost. It returns false if no worker qualifies or the gain is too small.
func (p *Pool) preemptOnce(now time.Time, c ranked, usable []*worker) bool {
	wait := time.Duration(math.MaxInt64)
	lowest := math.Inf(1)
	var best *worker
	var victims []*run
	for _, w := range usable {
		if w.isPreempting() || !c.step.need.fits(w.Capacity) || !p.permits(now, c.step, w) {
			continue
		}
		wait = min(wait, w.timeUntilRoom(now, c.step.need))
		if runs, cost, ok := p.cheapestVictims(now, w, c); ok && cost < lowest {
			best, victims, lowest = w, runs, cost
		}
	}
	gain := min(wait, maxCountedWait) - p.cfg.StopTime
	if best == nil || gain < minPreemptionGain || millis(gain)*float64(max(1, c.step.need.CPUMilli)) < minGainToLossRatio*lowest {
		return false
	}
	best.preemptingFor = c.step
	c.step.account().promise(c.step.need)
	for _, r := range victims {
		r.task.preempted++
		p.stop(now, r, reasonPreempted)
	}
	p.addPreempted(c.step, best, len(victims))
	return true
}

// timeUntilRoom estimates the time until enough batch runs have ended for the need to fit.
func (w *worker) timeUntilRoom(now time.Time, need Resources) time.Duration {
	free := w.free()
	if need.fits(free) {
		return 0
	}
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		if r.task != nil && !r.task.step.spec.GetPersistent() {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.remaining(now), b.remaining(now)) })
	for _, r := range runs {
		free = free.plus(r.need)
		if need.fits(free) {
			return r.remaining(now)
		}
	}
	return math.MaxInt64
}

// cheapestVictims returns runs of the worker whose end makes room for the step, and the work lost with them.
func (p *Pool) cheapestVictims(now time.Time, w *worker, c ranked) (victims []*run, cost float64, ok bool) {
	var runs []*run
	for _, r := range w.runs {
		if p.isPreemptible(now, r, c.Priority) {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(p.lostWork(now, a), p.lostWork(now, b)) })
	free := w.free()
	for _, r := range runs {
		if c.step.need.fits(free) {
			break
		}
		victims = append(victims, r)
		cost += p.lostWork(now, r)
		free = free.plus(r.need)
	}
	return victims, cost, len(victims) > 0 && c.step.need.fits(free)
}

// isPreemptible reports whether a run may be preempted for a queue of the given priority: either it saves its
// progress and has more time left than a stop and a restore take, or it has only just started.
func (p *Pool) isPreemptible(now time.Time, r *run, priority int) bool {
	t := r.task
	if t == nil || r.state != runRunning || r.stopping || t.done || t.job().isTerminal() || t.preempted >= maxTaskPreemptions {
		return false
	}
	spec := t.step.spec
	if spec.GetPersistent() || spec.GetGang() || len(t.runs) > 1 || p.termsOf(t.job()).priority <= priority {
		return false
	}
	if spec.GetSavesProgress() {
		return r.remaining(now) > p.cfg.StopTime+p.cfg.RestoreTime
	}
	return now.Sub(r.orderedAt) < maxUnsavedPreemptAge
}

// lostWork returns the work lost by preempting a run, in thousandths of a core times milliseconds.
func (p *Pool) lostWork(now time.Time, r *run) float64 {
	lost := now.Sub(r.orderedAt)
	if r.task.step.spec.GetSavesProgress() {
		lost = p.cfg.RestoreTime
	}
	return millis(lost+p.cfg.StopTime) * float64(max(1, r.task.step.spec.GetCpuMilli()))
}

// addPreempted adds the decision that runs on a worker are preempted for a task of the step.
func (p *Pool) addPreempted(s *step, w *worker, runs int) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionPreempted, Count: runs, Worker: w.ID,
		Task: TaskID{Job: s.occ.job.id, Occurrence: s.occ.number, Step: s.number},
	})
}
