package scheduler

import "time"

// settleGang takes the end of a member: success counts for all, anything else ends the attempt of all.
func (p *Pool) settleGang(now time.Time, t *task, r *run, end RunEnd) bool {
	s := t.step
	j := t.job()
	switch end {
	case EndSucceeded:
		for i := range s.tasks {
			p.succeed(now, &s.tasks[i])
		}
		p.changed(now, j)
		return true
	case EndFailed:
		if p.fail(now, &s.tasks[0], r) {
			p.changed(now, j)
		}
		p.breakGang(now, s, r.number)
		p.queueTask(now, t)
		return true
	default:
		p.breakGang(now, s, r.number)
		p.queueTask(now, t)
		return false
	}
}

// breakGang stops the other members of an attempt.
func (p *Pool) breakGang(now time.Time, s *step, number int64) {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			if r.number == number {
				p.stop(now, r, "another member ended")
			}
		}
	}
}

// placeGang starts all members with one number, if there is room for all of them.
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
	if len(chosen) < len(s.tasks) {
		return
	}
	number := p.nextRun()
	for i := range s.tasks {
		p.start(now, &s.tasks[i], chosen[i], number)
	}
	s.ready = s.ready[:0]
}
