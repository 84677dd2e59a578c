package scheduler

import (
	"slices"
	"time"
)

// applyGangRunEnd applies the end of a gang member, whose checkpoint is kept already: a success completes all tasks, any other end
// stops the whole attempt. It returns whether the end must be recorded.
func (p *Pool) applyGangRunEnd(now time.Time, t *task, r *run, end RunEnd, checkpoint string) bool {
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
		if end == EndAlone || end == EndBroken {
			s.backOffGang(now, r, end)
		}
		p.stopGangAttempt(now, s, r.number)
		p.enqueueTask(now, t)
		if checkpoint == "" {
			return false
		}
		p.markChanged(now, j)
		return true
	}
}

const (
	// baseGangBackoff is the delay before a gang starts again after its second attempt in a row that ended alone or broken. It
	// doubles with each further one, up to maxGangBackoffSteps times, so that a job never waits for 3 s beside unused capacity.
	baseGangBackoff     = 200 * time.Millisecond
	maxGangBackoffSteps = 3
)

// backOffGang delays the next attempt of a gang of which attempts keep ending alone or broken. Such an end is no failed
// attempt, since a lost start or another member's worker may be the cause, so that it never fails the job. The first one has
// no delay: a worker that crashed is no reason to wait.
func (s *step) backOffGang(now time.Time, r *run, end RunEnd) {
	if r.number <= s.brokenAttempt {
		return
	}
	s.brokenAttempt = r.number
	if end == EndBroken && r.age(now) > stableRunAge {
		s.brokenAttempts = 0
	}
	s.brokenAttempts++
	if s.brokenAttempts > 1 {
		s.notBefore = now.Add(baseGangBackoff << min(s.brokenAttempts-2, maxGangBackoffSteps))
	}
}

// isGangPaused reports whether the gang must not start yet, after attempts that were broken, or a refusal or a loss of a member.
func (p *Pool) isGangPaused(now time.Time, s *step) bool {
	return now.Before(s.notBefore) || slices.ContainsFunc(s.tasks, func(t task) bool { return p.isPaused(now, &t) })
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
	if len(s.ready) < len(s.tasks) || p.isGangPaused(now, s) {
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
		r := p.start(now, &s.tasks[i], chosen[i], number)
		r.provesEnds = chosen[i].acks.mayForget && s.provesEnds(now)
	}
	s.ready = s.ready[:0]
}
