package scheduler

import (
	"time"

	"github.com/samber/lo"
)

const (
	// sealAfter is how long a worker has to be silent to be sealed. Workers that answer do so at least once a second.
	sealAfter = 1500 * time.Millisecond
	// Workers that have answered this owner are sealed only while at most one in sealDivisor of them is silent: if more are, the
	// cause is probably this host. One that never answered runs nothing that this owner has started.
	sealDivisor = 2
)

// SealedWorker is a worker on which nothing starts, with the runs that may execute there. A record of it lets a later owner start
// all other tasks without waiting for the worker.
type SealedWorker struct {
	Worker string
	Runs   []SealedRun
}

// SealedRun is a run that may execute on a sealed worker, or whose end the worker may report to a later owner, as it is not durable.
type SealedRun struct {
	Task TaskID
	Run  int64
	// Listed means that the incarnation has listed the run, so that it ends with it.
	Listed bool
}

// Seal seals the workers that have become silent and returns those that are sealed and have not reported since, sorted by ID.
// Nothing starts on a sealed worker until it is unsealed, whether or not the record of it was written.
func (p *Pool) Seal(now time.Time) []SealedWorker {
	if p.takeover.blocksStarts() {
		return p.sealedWorkers()
	}
	heard := lo.Filter(p.sortedWorkers, func(w *worker, _ int) bool { return w.reported && !w.departed })
	silent := lo.CountBy(heard, func(w *worker) bool { return w.mustBeSealed(now) })
	maySealHeard := silent*sealDivisor <= len(heard)
	for _, w := range p.sortedWorkers {
		if !w.knownSealed() && w.mustBeSealed(now) && (maySealHeard || !w.reported) {
			w.sealed, w.sealedAt = true, now
		}
	}
	return p.sealedWorkers()
}

// mustBeSealed reports whether a later owner would wait for the worker. One that is known to have ended answers for its address,
// unless a later incarnation may execute what was sent to it. One whose ends are hidden must be waited for.
func (w *worker) mustBeSealed(now time.Time) bool {
	switch {
	case w.departed, w.endsHidden:
		// The record would not name the runs whose ends are hidden.
		return false
	case w.replaced:
		return len(w.runs) > 0
	}
	return now.Sub(w.lastReport) >= sealAfter
}

// knownSealed reports whether the worker is sealed and, as far as is known, still runs what it did then.
func (w *worker) knownSealed() bool { return w.sealed && !w.lastReport.After(w.sealedAt) }

func (p *Pool) sealedWorkers() []SealedWorker {
	var out []SealedWorker
	for _, w := range p.sortedWorkers {
		if !w.knownSealed() {
			continue
		}
		s := SealedWorker{Worker: w.ID}
		for _, r := range w.runs {
			s.Runs = append(s.Runs, SealedRun{Task: r.id, Run: r.number, Listed: r.listedBy(w)})
		}
		for _, e := range w.ends.unrecorded() {
			s.Runs = append(s.Runs, SealedRun{Task: e.task, Run: e.run, Listed: true})
		}
		out = append(out, s)
	}
	return out
}

// Unseal allows starts again on all sealed workers but those in keep, once no record tells that they are sealed.
func (p *Pool) Unseal(now time.Time, keep map[string]bool) {
	for _, w := range p.sortedWorkers {
		if w.sealed && !keep[w.ID] {
			w.sealed = false
			p.wakePlacement(now)
		}
	}
}

// AdoptSealed takes over a worker that an earlier owner has sealed. Its runs may execute until their leases have expired; the
// takeover does not wait for the worker. It is called after Load and after the worker was listed.
func (p *Pool) AdoptSealed(now time.Time, s SealedWorker) {
	w := p.workers[s.Worker]
	if w == nil {
		return
	}
	w.sealed, w.sealedAt = true, now
	if w.reported || !p.takeover.blocksStarts() {
		return
	}
	for _, x := range s.Runs {
		r := p.adopt(now, w, &RunningTask{Task: x.Task, Run: x.Run})
		r.state = runUnknown
		r.giveUpAt = p.takeover.leaseDeadline(p.inheritedLease(w))
		r.listedEarlier = x.Listed
	}
	p.takeover.markReported(s.Worker)
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionSealAdopted, Worker: w.ID, Count: len(s.Runs)})
}
