package scheduler

import "time"

const (
	// speculateEvery is the pause between looks for runs that take too long.
	speculateEvery = 500 * time.Millisecond
	// speculateAfter times the expected duration is when a copy is started.
	speculateAfter = 2.5
)

// checkSpeculation starts copies of late runs while the pool has nothing else to start.
func (p *Pool) checkSpeculation(now time.Time) {
	if !p.speculates || len(p.open) > 0 || p.sending.spent() || now.Sub(p.speculatedAt) < speculateEvery {
		return
	}
	p.speculatedAt = now
	late := p.lateRuns(now)
	if len(late) == 0 {
		return
	}
	usable := p.usableWorkers(now)
	for _, r := range late {
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

func (p *Pool) lateRuns(now time.Time) []*run {
	var late []*run
	for _, w := range p.order {
		for _, r := range w.runs {
			if r.task == nil || r.task.done || r.task.job().over() || r.state != runRunning {
				continue
			}
			s := r.task.step
			if !s.spec.GetSpeculative() || s.spec.GetGang() || s.spec.GetPersistent() || len(r.task.runs) > 1 {
				continue
			}
			if now.Sub(r.seenAt) > time.Duration(speculateAfter*float64(s.expected)) {
				late = append(late, r)
			}
		}
	}
	return late
}
