package scheduler

import (
	"time"
)

// reasonEndsListed is the reason why the ends of a worker are not hidden any more.
const reasonEndsListed = "the worker has listed all"

// A worker lists only the first ends that are not acknowledged. Those beyond them are neither running nor listed, so a new owner cannot
// tell a batch task that has ended there from one that never began. Persistent tasks end only to be started again, and the lists of
// running tasks are complete. In the term of this owner, a run is known until its end is listed.

// listsAllEnds reports whether the report lists all ends that were not acknowledged before.
func (p *Pool) listsAllEnds(r *Report) bool { return len(r.Ended) < p.cfg.MaxEndsPerReport }

// hideEnds makes batch tasks wait until the worker has listed all ends.
func (p *Pool) hideEnds(w *worker, r *Report) {
	w.endsHidden = true
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionEndsHidden, Worker: w.ID, Born: w.Born, Count: len(r.Ended)})
}

// showEnds ends the wait for the worker, if there is one.
func (p *Pool) showEnds(now time.Time, w *worker, reason string) {
	if !w.endsHidden {
		return
	}
	w.endsHidden = false
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionEndsShown, Worker: w.ID, Born: w.Born, Reason: reason, Age: now.Sub(w.reportedAt), Silence: now.Sub(w.lastReport),
	})
	p.wakePlacement(now)
}

// checkHiddenEnds ends the wait for a silent worker once its lease has expired: no owner has to heed ends from before that. It also
// lists the worker in hidingWorkers if the wait goes on.
func (p *Pool) checkHiddenEnds(now time.Time, w *worker) {
	if w.endsHidden && w.silent(now) && p.awaitExpiry(now, w.leaseExpiry()) {
		p.showEnds(now, w, reasonLeaseExpired)
	}
	if w.endsHidden {
		p.hidingWorkers = append(p.hidingWorkers, w)
	}
}

// awaitsEnds reports whether tasks of the step may have ended on a worker that has not listed that yet.
func (p *Pool) awaitsEnds(s *step) bool { return len(p.hidingWorkers) > 0 && !s.spec.GetPersistent() }
