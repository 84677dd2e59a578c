package scheduler

import "time"

// endMissingRuns notes which runs a report proves absent. They end once the ownership was confirmed since then: a later owner may have
// acknowledged the end of a run, which the worker then lists no more, while the hold of this one waited there.
func (p *Pool) endMissingRuns(now time.Time, w *worker, rep *Report) {
	for _, r := range w.runs {
		switch {
		case r.lastReportSeq == p.reportSeq:
			r.missingSince = time.Time{}
		case r.missingSince.IsZero() && r.provenAbsentBy(rep):
			r.missingSince = rep.Received
			p.missingRuns = append(p.missingRuns, r)
		}
	}
	p.endConfirmedMissing(now)
}

// awaitLossConfirmed lets the task of a run that is lost with its incarnation start again once the ownership was confirmed since: a later
// owner may have acknowledged the end of the run before the incarnation ended.
func (p *Pool) awaitLossConfirmed(now time.Time, r *run) {
	if r.task != nil {
		r.task.lostAt, p.lastLostAt = now, now
	}
}

// checkLossConfirmed requests the confirmation that lost tasks wait for, and has them placed at once after it.
func (p *Pool) checkLossConfirmed(now time.Time) {
	switch {
	case p.lastLostAt.IsZero():
	case !p.confirmedSince(p.lastLostAt):
		p.out.Confirm = true
	default:
		p.lastLostAt = time.Time{}
		p.wakePlacement(now)
	}
}

// endConfirmedMissing removes the missing runs whose ends no later owner can have acknowledged. Runs that were never known to begin count
// as never started, those that were only to be stopped as stopped, and the others as lost.
func (p *Pool) endConfirmedMissing(now time.Time) {
	missing := p.missingRuns
	p.missingRuns = nil
	for _, r := range missing {
		switch {
		case r.state == runOver || r.missingSince.IsZero():
		case !p.confirmedSince(r.missingSince):
			p.out.Confirm = true
			p.missingRuns = append(p.missingRuns, r)
		case r.state == runOrdered || r.state == runUnknown:
			p.addDecision("never began", r, r.stopReason)
			p.revertStart(now, r)
		case r.provesEnds && !r.stopAcked.IsZero():
			p.noteMissing(now, r)
			p.endRun(now, r, EndStopped, "")
		default:
			p.noteMissing(now, r)
			p.addLost(now, r, reasonNotListed)
			p.endRun(now, r, EndLapsed, "")
		}
	}
}
