package scheduler

import (
	"slices"
	"time"
)

// maxLateCall is how much later a call without an answer may still be carried out.
const maxLateCall = 30 * time.Second

// forgetfulFallbackWait is how long a step waits for other workers before it uses one that has probably forgotten ends.
const forgetfulFallbackWait = 2 * time.Second

// A hold that acknowledges ends may be carried out by a later incarnation under the same id, before the first call with the raised
// fence. That one numbers its ends anew and forgets the first of them, up to the acknowledged number, without having listed them: a
// task that has succeeded there would look lost. Once it has listed an end, it lists all later ones.

// ackLog tracks the acknowledgements that a later incarnation may carry out.
type ackLog struct {
	// answered is the highest acknowledgement that the present incarnation has answered. It is not sent again.
	answered int64
	// inFlight counts the holds to the present incarnation that acknowledge ends and have not been answered, of which the last was
	// sent at sentAt.
	inFlight int
	sentAt   time.Time
	// lost counts those that were sent to earlier incarnations.
	lost int
	// endListed means that the present incarnation has listed an end.
	endListed bool
}

// next returns the acknowledgement of a hold that is sent now, 0 if there is none.
func (a *ackLog) next(now time.Time, acknowledged int64) int64 {
	if acknowledged <= a.answered {
		return 0
	}
	a.inFlight++
	a.sentAt = now
	return acknowledged
}

// reset begins the log of a later incarnation.
func (a *ackLog) reset(now time.Time) {
	lost := a.lost + a.inFlight
	if now.Sub(a.sentAt) > maxLateCall {
		lost = 0
	}
	*a = ackLog{lost: lost, sentAt: a.sentAt}
}

// AckSettled records that a hold of a worker which acknowledged ends was answered, or was certainly not sent.
func (p *Pool) AckSettled(id string) {
	w := p.workers[id]
	switch {
	case w == nil:
	case w.acks.inFlight > 0:
		w.acks.inFlight--
	case w.acks.lost > 0:
		w.acks.lost--
		p.placementDue = true
	}
}

// mayForgetEnds reports whether the worker may have forgotten ends that it has not listed.
func (w *worker) mayForgetEnds() bool { return w.returned && !w.acks.endListed }

// permitsEnds reports whether the step may use the worker, whose next ends may be forgotten. Persistent and speculative tasks may start
// again whatever their ends. Of others one at a time may start, and where ends are probably forgotten only after a wait for other workers.
func (w *worker) permitsEnds(now time.Time, s *step) bool {
	if !w.mayForgetEnds() || s.spec.GetPersistent() || s.spec.GetSpeculative() {
		return true
	}
	if w.acks.lost > 0 && now.Sub(s.readySince) < forgetfulFallbackWait {
		return false
	}
	return !slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == nil || !r.task.step.spec.GetPersistent() })
}

// noteMissing records that a run is neither running nor has a listed end.
func (p *Pool) noteMissing(now time.Time, w *worker) {
	if w.mayForgetEnds() {
		w.acks.lost++
		w.acks.sentAt = now
		p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionEndsForgotten, Worker: w.ID, Born: w.Born})
	}
}
