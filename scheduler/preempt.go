package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// preemptEvery is the least time between looks for runs that give way.
	preemptEvery = 150 * time.Millisecond
	// preemptGain is how much sooner than by waiting there has to be room.
	preemptGain = 500 * time.Millisecond
	// preemptWorth times what is thrown away has to be gained.
	preemptWorth = 2
	// youngRun is the age below which a run that saves nothing may be stopped.
	youngRun = 300 * time.Millisecond
	// maxPreempted bounds how often a task gives way; one worker in preemptShare is freed at once.
	maxPreempted = 1
	preemptShare = 4
	// longestWait is what is counted at most of a wait without an end in sight.
	longestWait = 5 * time.Second
)

// gaveWay is the reason to stop a run for a task of a queue that comes first.
const gaveWay = "gives way to a queue that comes first"

// checkPreemption stops batch runs for tasks of queues with a lower priority number that would wait for long. What has been
// freed goes to these by the order of placement. It ends since a task gives way to lower numbers only, and only so often.
func (p *Pool) checkPreemption(now time.Time) {
	if len(p.open) == 0 || p.sending.spent() || now.Sub(p.preemptedAt) < preemptEvery {
		return
	}
	p.preemptedAt = now
	if !p.mayPreempt() {
		return
	}
	usable := p.usableWorkers(now)
	limit := max(1, len(usable)/preemptShare)
	for _, c := range p.rank(now) {
		if c.class > classOnTime || p.takeover.holds() || c.step.spec.GetGang() {
			continue
		}
		waiting := c.step.startable(now) - p.countFreed(c.step)
		for ; waiting > 0 && p.countFreed(nil) < limit; waiting-- {
			if !p.preemptOnce(now, c, usable) {
				break
			}
		}
	}
}

// startable counts the waiting tasks that may start now.
func (s *step) startable(now time.Time) int {
	n := 0
	for _, index := range s.ready {
		if !now.Before(s.tasks[index].notBefore) {
			n++
		}
	}
	return n
}

// mayPreempt tells whether a waiting step has a lower priority number than some run.
func (p *Pool) mayPreempt() bool {
	first, last := math.MaxInt, math.MinInt
	for _, s := range p.open {
		first = min(first, p.queueOf(s.occ.job).Priority)
	}
	for _, w := range p.order {
		for _, r := range w.runs {
			if r.task != nil && !r.task.step.spec.GetPersistent() {
				last = max(last, p.queueOf(r.task.job()).Priority)
			}
		}
	}
	return first < last
}

// countFreed counts the workers that are being freed for the step, or for any.
func (p *Pool) countFreed(s *step) int {
	n := 0
	for _, w := range p.order {
		if w.freedFor == nil {
			continue
		}
		if !w.givingWay() {
			w.freedFor = nil
			continue
		}
		if s == nil || w.freedFor == s {
			n++
		}
	}
	return n
}

// keptFor tells whether the worker's room may go to the step, as far as runs here give way.
func (w *worker) keptFor(s *step) bool { return w.freedFor == nil || w.freedFor == s || !w.givingWay() }

func (w *worker) givingWay() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.stopping && r.stopReason == gaveWay })
}

// preemptOnce frees one worker for a task of the step, where least is thrown away.
func (p *Pool) preemptOnce(now time.Time, c ranked, usable []*worker) bool {
	wait := time.Duration(math.MaxInt64)
	lowest := math.Inf(1)
	var best *worker
	var victims []*run
	for _, w := range usable {
		if w.givingWay() || !c.step.need.fits(w.Capacity) || !p.permits(now, c.step, w) {
			continue
		}
		wait = min(wait, w.waitFor(now, c.step.need))
		if runs, cost, ok := p.cheapestRuns(now, w, c); ok && cost < lowest {
			best, victims, lowest = w, runs, cost
		}
	}
	gain := min(wait, longestWait) - p.cfg.StopTime
	if best == nil || gain < preemptGain || millis(gain)*float64(max(1, c.step.need.CPUMilli)) < preemptWorth*lowest {
		return false
	}
	best.freedFor = c.step
	for _, r := range victims {
		r.task.preempted++
		p.stop(now, r, gaveWay)
	}
	p.decidePreempted(c.step, best, len(victims))
	return true
}

// waitFor is the time until enough batch runs have ended for the need.
func (w *worker) waitFor(now time.Time, need Resources) time.Duration {
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

// cheapestRuns are runs of the worker whose end makes room for the step, and the work that is thrown away with them.
func (p *Pool) cheapestRuns(now time.Time, w *worker, c ranked) (victims []*run, cost float64, ok bool) {
	var runs []*run
	for _, r := range w.runs {
		if p.mayGiveWay(now, r, c.priority) {
			runs = append(runs, r)
		}
	}
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(p.thrownAway(now, a), p.thrownAway(now, b)) })
	free := w.free()
	for _, r := range runs {
		if c.step.need.fits(free) {
			break
		}
		victims = append(victims, r)
		cost += p.thrownAway(now, r)
		free = free.plus(r.need)
	}
	return victims, cost, len(victims) > 0 && c.step.need.fits(free)
}

// mayGiveWay tells whether a run may be stopped for a queue of that priority: one that saves its progress and has much
// left, or one that has just begun.
func (p *Pool) mayGiveWay(now time.Time, r *run, priority int) bool {
	t := r.task
	if t == nil || r.state != runRunning || r.stopping || t.done || t.job().over() || t.preempted >= maxPreempted {
		return false
	}
	spec := t.step.spec
	if spec.GetPersistent() || spec.GetGang() || len(t.runs) > 1 || p.queueOf(t.job()).Priority <= priority {
		return false
	}
	if spec.GetSavesProgress() {
		return r.remaining(now) > p.cfg.StopTime+p.cfg.RestoreTime
	}
	return now.Sub(r.orderedAt) < youngRun
}

// thrownAway is the work lost with a run, in thousandths of a core times milliseconds.
func (p *Pool) thrownAway(now time.Time, r *run) float64 {
	lost := now.Sub(r.orderedAt)
	if r.task.step.spec.GetSavesProgress() {
		lost = p.cfg.RestoreTime
	}
	return millis(lost+p.cfg.StopTime) * float64(max(1, r.task.step.spec.GetCpuMilli()))
}

// decidePreempted notes that runs on a worker give way to a task of the step.
func (p *Pool) decidePreempted(s *step, w *worker, runs int) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionPreempted, Count: runs, Worker: w.ID,
		Task: TaskID{Job: s.occ.job.id, Occurrence: s.occ.number, Step: s.number},
	})
}
