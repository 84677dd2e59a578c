package scheduler

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// Evidence that an incarnation of a worker has ended or that a run is over, as told by the log and by the metric of lost runs.
const (
	reasonWrongInstance   = "another instance answers at its address"
	reasonLaterAnswered   = "a later incarnation has answered"
	reasonLaterRegistered = "the registry names a later incarnation"
	reasonHostList        = "its host is moving, in upkeep or runs another worker"
	reasonLeaseExpired    = "lease expired"
	reasonStartOutdated   = "its start can no longer be executed by a later incarnation"
	reasonNotListed       = "not listed by the worker"
)

// A connection that is refused or reset proves nothing about a worker: whatever cuts the link may answer in its place. Only
// the worker's lease, an answer of a later incarnation, or EndIncarnations ends the runs of a worker that cannot be reached.

// MarkUnreachable records that a hold got no answer. Until the worker answers, Status names its host, so that the owner of the
// fleet finds out whether the worker has ended.
func (p *Pool) MarkUnreachable(id string) {
	if w := p.workers[id]; w != nil {
		w.unreachable = true
	}
}

// EndIncarnations ends the runs of incarnations that have ended. It ignores any other incarnation than the one that Status names, and
// workers that have not failed to answer the last hold. A start without an answer is kept, because it may yet reach a later
// incarnation under the same id, unless a worker with another id has succeeded the incarnation.
func (p *Pool) EndIncarnations(now time.Time, incarnations []*pb.WorkerIncarnation) {
	for _, incarnation := range incarnations {
		w := p.workers[incarnation.GetId()]
		if w == nil || incarnation.GetBorn() == 0 || incarnation.GetBorn() != w.Born {
			continue
		}
		switch {
		case incarnation.GetSucceeded() && (w.unreachable || w.replaced):
			p.markEnded(now, w, reasonHostList, func(*run) bool { return true })
		case w.unreachable && !w.replaced:
			p.markEnded(now, w, reasonHostList, (*run).hasBegunHere)
			p.keepUnansweredStarts(now, w)
		default: // It answers, or its end is known: what remains may run in a later incarnation.
		}
	}
}

// hasBegunHere reports whether the incarnation to which the start was sent has certainly carried it out.
func (r *run) hasBegunHere() bool {
	return r.listedEarlier || r.state == runRunning || r.state == runAccepted && !r.acceptedLater
}

// markEnded records that the present incarnation of a worker has ended, and ends those of its runs for which ends returns true.
func (p *Pool) markEnded(now time.Time, w *worker, reason string, ends func(*run) bool) {
	if w.replaced {
		p.endRuns(now, w, reason, ends)
		return
	}
	p.endIncarnation(now, w, reason, ends)
	w.replaced = true
	w.replacedAt = now
	p.takeover.markReported(w.ID)
}

// describeIncarnation sets the fields of a worker's load by which the owner of the fleet finds out whether the worker has ended.
func (w *worker) describeIncarnation(out *pb.WorkerLoad) {
	if w.replaced && len(w.runs) == 0 {
		return
	}
	out.Born = w.Born
	if w.unreachable {
		out.UnreachableHost = w.Host
	}
}
