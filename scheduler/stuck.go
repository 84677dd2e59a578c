package scheduler

import "time"

// stuckAfter is how long a step waits until it counts as stuck.
const stuckAfter = 2 * time.Second

// stuckCPU is the most that the waiting tasks of a step need at once, in thousandths of a core, if they have waited for
// room while nothing runs in the pool whose end would make any: only a further worker helps.
func (p *Pool) stuckCPU(now time.Time) int64 {
	if len(p.open) == 0 || p.takeover.started && !p.takeover.done || p.endsByItself() {
		return 0
	}
	var most int64
	usable := p.usableWorkers(now)
	for _, s := range p.open {
		if len(s.ready) == 0 || now.Sub(s.readySince) < stuckAfter || !p.lacksRoom(now, s, usable) {
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

// endsByItself tells whether any run of the pool is not persistent.
func (p *Pool) endsByItself() bool {
	for _, w := range p.order {
		for _, r := range w.runs {
			if r.task != nil && !r.task.step.spec.GetPersistent() {
				return true
			}
		}
	}
	return false
}

// lacksRoom tells whether room is what keeps the step waiting: a worker may run it and is large enough.
func (p *Pool) lacksRoom(now time.Time, s *step, usable []*worker) bool {
	for _, w := range usable {
		if s.need.fits(w.Capacity) && p.permits(now, s, w) {
			return true
		}
	}
	return false
}
