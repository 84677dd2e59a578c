package scheduler

import "time"

// applyGangRunEnd applies the end of a gang member: a success completes all tasks, any other end stops the whole
// attempt.
func (p *Pool) applyGangRunEnd(now time.Time, t *task, r *run, end RunEnd) bool {
	s := t.step
	j := t.job()
	switch end {
	case EndSucceeded:
		for i := range s.tasks {
			p.completeTask(now, &s.tasks[i])
		}
		p.markChanged(now, j)
		return true
	case EndFailed:
		if p.recordFailedAttempt(now, &s.tasks[0], r) {
			p.markChanged(now, j)
		}
		p.stopGangAttempt(now, s, r.number)
		p.enqueueTask(now, t)
		return true
	default:
		p.stopGangAttempt(now, s, r.number)
		p.enqueueTask(now, t)
		return false
	}
}

// stopGangAttempt stops the other members of an attempt.
func (p *Pool) stopGangAttempt(now time.Time, s *step, number int64) {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.number == number {
				p.stop(now, r, "another gang member ended")
			}
		}
	}
}

// placeGang starts all members with the same run number if there is room for all of them at once.
func (p *Pool) placeGang(now time.Time, s *step, usable []*worker) {
	if len(s.ready) < len(s.tasks) {
		return
	}
	chosen := make([]*worker, 0, len(s.tasks))
	for i := range s.tasks {
		w := p.choose(now, &s.tasks[i], usable)
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		w.used = w.used.plus(s.need)
		s.active[w]++
	}
	for _, w := range chosen {
		w.used = w.used.minus(s.need)
		s.active[w]--
		if s.active[w] == 0 {
			delete(s.active, w)
		}
	}
	if len(chosen) < len(s.tasks) || !p.areFreshForTrials(now, s, chosen) || !p.areTrialsRecorded(now, s) {
		return
	}
	number := p.nextRun()
	for i := range s.tasks {
		p.start(now, &s.tasks[i], chosen[i], number)
	}
	s.ready = s.ready[:0]
}
