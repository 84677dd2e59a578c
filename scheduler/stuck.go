package scheduler

import "time"

// stuckWait is how long a step waits before it counts as stuck.
const stuckWait = 2 * time.Second

// stuckCPU returns the largest CPU need of a stuck step, in thousandths of a core: its tasks have waited for capacity
// while the pool has no batch run whose end would free any, so only another worker helps.
func (p *Pool) stuckCPU(now time.Time) int64 {
	if len(p.waitingSteps) == 0 || p.takeover.started && !p.takeover.done || len(p.hidingWorkers) > 0 || p.hasBatchRuns() {
		return 0
	}
	var most int64
	usable := p.usableWorkers(now)
	for _, s := range p.waitingSteps {
		if len(s.ready) == 0 || p.withinLimit(s, 1) == 0 || now.Sub(s.lacksRoomSince()) < stuckWait || !p.lacksRoom(now, s, usable) {
			continue
		}
		count := int64(1)
		if s.spec.GetGang() {
			count = int64(len(s.tasks))
		}
		most = max(most, count*s.need.CPUMilli)
	}
	return most
}

// hasBatchRuns reports whether any run of the pool is not persistent.
func (p *Pool) hasBatchRuns() bool {
	for _, w := range p.sortedWorkers {
		for _, r := range w.runs {
			if r.task != nil && !r.task.step.spec.GetPersistent() {
				return true
			}
		}
	}
	return false
}

// lacksRoom reports whether the step waits only for capacity: some worker is permitted and large enough.
func (p *Pool) lacksRoom(now time.Time, s *step, usable []*worker) bool {
	for _, w := range usable {
		if s.need.fits(w.Capacity) && p.permits(now, s, w) {
			return true
		}
	}
	return false
}
