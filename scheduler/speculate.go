package scheduler

import "time"

const (
	// speculationInterval is the time between checks for overdue runs.
	speculationInterval = 500 * time.Millisecond
	// A second run is started after speculationFactor times the expected duration.
	speculationFactor = 2.5
)

// checkSpeculation starts speculative runs of overdue tasks while the pool has nothing else to start.
func (p *Pool) checkSpeculation(now time.Time) {
	if !p.hasSpeculative || p.hasPlaceableSteps() || p.sendBudget.exhausted() || now.Sub(p.lastSpeculationAt) < speculationInterval {
		return
	}
	p.lastSpeculationAt = now
	overdue := p.overdueRuns(now)
	if len(overdue) == 0 {
		return
	}
	usable := p.usableWorkers(now)
	for _, r := range overdue {
		s := r.task.step
		if a := s.account(); a != nil && a.hasNext() || p.withinLimit(s, 1) == 0 {
			continue
		}
		others := make([]*worker, 0, len(usable))
		for _, w := range usable {
			if w != r.worker {
				others = append(others, w)
			}
		}
		if w := p.choose(now, r.task, others); w != nil {
			p.start(now, r.task, w, p.nextRun())
		}
	}
}

func (p *Pool) overdueRuns(now time.Time) []*run {
	var overdue []*run
	for _, w := range p.sortedWorkers {
		for _, r := range w.runs {
			if r.task == nil || r.task.done || r.task.job().isTerminal() || r.state != runRunning {
				continue
			}
			s := r.task.step
			if !s.spec.GetSpeculative() || s.spec.GetGang() || s.spec.GetPersistent() || len(r.task.runs) > 1 {
				continue
			}
			if now.Sub(r.runningSince) > time.Duration(speculationFactor*float64(s.expected)) {
				overdue = append(overdue, r)
			}
		}
	}
	return overdue
}
