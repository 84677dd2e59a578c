package scheduler

import (
	"slices"
	"sort"
	"time"
)

const (
	// evacuateEvery is the pause between looks at workers that are to be emptied.
	evacuateEvery = 100 * time.Millisecond
	// drainReserve is how long before a draining worker leaves what is left on it is moved at once.
	drainReserve = time.Second
)

// movedAway is the reason to stop a run that is to run elsewhere.
const movedAway = "moved away"

// Evacuate replaces the set of workers that are to be emptied.
func (p *Pool) Evacuate(_ time.Time, ids []string) {
	p.evacuate = make(map[string]bool, len(ids))
	for _, id := range ids {
		p.evacuate[id] = true
	}
	p.leaving = nil
	for _, w := range p.order {
		p.markEvacuating(w)
	}
}

// Leaving names hosts that may have been ordered away before this owner took the pool. Their workers are to be emptied
// until the first call of Evacuate tells more.
func (p *Pool) Leaving(hosts []string) {
	p.leaving = make(map[string]bool, len(hosts))
	for _, id := range hosts {
		p.leaving[id] = true
	}
	for _, w := range p.order {
		p.markEvacuating(w)
	}
}

func (p *Pool) markEvacuating(w *worker) {
	wanted := p.evacuate[w.ID] || (w.Host != "" && p.leaving[w.Host])
	if w.evacuating != wanted {
		w.evacuating = wanted
		w.emptyConfirmed = false
		p.place = true
	}
}

// checkEvacuation moves tasks away from workers that drain or are to be emptied.
func (p *Pool) checkEvacuation(now time.Time) {
	p.moving = p.moving[:0]
	var leaving []*worker
	for _, w := range p.order {
		if len(w.runs) > 0 && !w.gone && (w.Draining || w.evacuating) {
			leaving = append(leaving, w)
		}
	}
	if len(leaving) == 0 {
		return
	}
	// What leaves in any case uses up the budgets first.
	sort.SliceStable(leaving, func(a, b int) bool { return leaving[a].Draining && !leaving[b].Draining })
	usable := p.usableWorkers(now)
	p.wake(now.Add(evacuateEvery))
	for _, w := range leaving {
		for _, r := range w.runs {
			p.move(now, r, usable)
		}
	}
}

// move stops a run that should run elsewhere, if there is room for it.
func (p *Pool) move(now time.Time, r *run, usable []*worker) {
	if r.task == nil || r.state != runRunning || r.task.job().over() {
		return
	}
	persistent := r.task.step.spec.GetPersistent()
	if r.stopping || now.Before(r.stopAt) || !p.shouldMove(now, r) {
		if r.stopping && persistent {
			p.moving = append(p.moving, r.task.step)
		}
		return
	}
	if persistent {
		p.moving = append(p.moving, r.task.step)
	}
	if p.roomElsewhere(now, r, usable) {
		p.stop(now, r, movedAway)
	}
}

// keepRoom takes workers from those for batch tasks while persistent tasks are to move there, at most so many.
func (p *Pool) keepRoom(usable []*worker, most int) []*worker {
	for _, s := range p.moving[:min(len(p.moving), most)] {
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
	leaving := w.Draining && now.Add(p.cfg.StopTime+drainReserve).After(w.drainBy)
	if s.spec.GetPersistent() {
		// It may have come to work since the last report.
		return leaving || (s.budgetAllows(now, r.task) && p.takeover.settled(now, p.cfg.StopTime))
	}
	left := r.remaining(now)
	if s.spec.GetGang() && !s.spec.GetSavesProgress() {
		return false
	}
	if w.Draining && !w.evacuating {
		return s.spec.GetSavesProgress() && leaving && now.Add(left).After(w.drainBy)
	}
	return s.spec.GetSavesProgress() && left > 2*p.cfg.RestoreTime+p.cfg.StopTime
}

func (p *Pool) roomElsewhere(now time.Time, r *run, usable []*worker) bool {
	s := r.task.step
	for _, w := range usable {
		if w != r.worker && s.need.fits(w.free()) && p.permits(now, s, w) {
			return true
		}
	}
	return false
}

// atWork tells whether a persistent run works and is meant to go on.
func (r *run) atWork() bool {
	const full = 100
	return r.state == runRunning && !r.stopping && r.percent >= full
}

// budgetAllows tells whether the task may be ended while the others of its step that are away are counted.
// A step without a budget is treated as if it had a budget of one.
func (s *step) budgetAllows(now time.Time, t *task) bool {
	budget := max(1, s.spec.GetMayMiss())
	for i := range s.tasks {
		other := &s.tasks[i]
		if other == t || other.atWork(now) {
			continue
		}
		budget--
	}
	return budget > 0
}

// atWork tells whether a run of the task is known to work; on a silent worker, or by a late stop, it may have ended.
func (t *task) atWork(now time.Time) bool {
	for _, r := range t.runs {
		if r.atWork() && !r.worker.silent(now) && !now.Before(r.endsUntil) {
			return true
		}
	}
	return false
}

// harmless tells whether nothing is lost and no budget broken if the run's worker stopped now.
func (p *Pool) harmless(now time.Time, r *run) bool {
	if r.task == nil || r.task.done || r.task.job().over() {
		return true
	}
	s := r.task.step
	if !s.spec.GetPersistent() {
		return false
	}
	return s.active[r.worker] <= 1 && s.budgetAllows(now, r.task) && p.takeover.settled(now, p.cfg.StopTime)
}
