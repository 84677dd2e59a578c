package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// maxLateCall is how much later a call without an answer may still be carried out.
	maxLateCall = 30 * time.Second
	// proofWait is how long a task waits for other workers before it is started to prove that a worker lists its ends. minProofRun is
	// the least expected duration of such a task: its stop has to arrive before it succeeds.
	proofWait   = 500 * time.Millisecond
	minProofRun = 400 * time.Millisecond
	// maxProofs is the number of such starts at once on a worker of which a run is missing: each uses up one of the ends that it hides.
	maxProofs = 8
	// lastResortWait is how long tasks that cannot be started for this wait for a worker: short ones, and those that are suspected of
	// crashing workers. After lastResortLimit they no longer wait for a worker that is large enough and has no room.
	lastResortWait  = 2 * time.Second
	lastResortLimit = 10 * time.Second
)

// reasonProvesEnds is the stop reason of a run that was started only for its end.
const reasonProvesEnds = "its end shows that the worker lists its ends"

// A hold that acknowledges ends may be carried out by a later incarnation under the same id, before the first call with the raised
// fence. That one numbers its ends anew and never lists the first of them, up to the acknowledged number, so that a task which has
// succeeded there would look lost. An incarnation that has listed an end since it knows the raised fence lists all later ones.

// ackLog tracks the acknowledgements to a worker that a later incarnation may carry out.
type ackLog struct {
	// applied is the highest acknowledgement that the present incarnation has carried out. It is not sent again.
	applied int64
	// open holds the acknowledgements without an answer.
	open []openAck
	// endListed means that the present incarnation has listed an end since it knows its fence, mayForget that until then it may have
	// forgotten ends that it has not listed, since mayForgetSince. forgets means that a run of it is missing.
	endListed, mayForget, forgets bool
	mayForgetSince                time.Time
}

// openAck is an acknowledgement without an answer.
type openAck struct {
	fence  uint64
	sentAt time.Time
}

// add returns the acknowledgement of a hold that is sent now, 0 if there is none.
func (a *ackLog) add(now time.Time, fence uint64, acknowledged int64) int64 {
	if acknowledged <= a.applied {
		return 0
	}
	a.dropOld(now)
	a.open = append(a.open, openAck{fence, now})
	return acknowledged
}

// dropOld drops the acknowledgements that are not carried out any more.
func (a *ackLog) dropOld(now time.Time) {
	a.open = slices.DeleteFunc(a.open, func(o openAck) bool { return now.Sub(o.sentAt) > maxLateCall })
}

// reset begins the log of a later incarnation.
func (a *ackLog) reset() { *a = ackLog{open: a.open} }

// openBefore reports whether an earlier incarnation than the one with this fence was sent an acknowledgement that may have reached a
// later one.
func (a *ackLog) openBefore(now time.Time, fence uint64) bool {
	a.dropOld(now)
	return slices.ContainsFunc(a.open, func(o openAck) bool { return o.fence != fence })
}

// AckResult is what became of the acknowledgement of a hold.
type AckResult int

// Results of acknowledgements. While neither is known, the acknowledgement may still be carried out.
const (
	// AckApplied: the incarnation for which the hold was meant has answered it.
	AckApplied AckResult = iota
	// AckNotSent: the hold was not sent, was rejected, or was sent without the acknowledgement.
	AckNotSent
)

// SettleAck applies the result of a hold that acknowledged ends.
func (p *Pool) SettleAck(id string, h Hold, result AckResult) {
	w := p.workers[id]
	if w == nil || h.LastSeen == 0 {
		return
	}
	if i := slices.IndexFunc(w.acks.open, func(o openAck) bool { return o.fence == h.Fence }); i >= 0 {
		w.acks.open = slices.Delete(w.acks.open, i, i+1)
	}
	if result == AckApplied && h.Fence == p.fenceFor(w) {
		w.acks.applied = max(w.acks.applied, h.LastSeen)
	}
}

// checkAcks determines whether an incarnation may have forgotten ends when it first answers a call with its fence. From then on it
// rejects acknowledgements to earlier ones.
func (p *Pool) checkAcks(now time.Time, w *worker) {
	inherited := w.RecordedMayForget || w.returned && w.heldEarlier && now.Sub(p.takeover.startedAt) < maxLateCall
	if inherited || w.acks.openBefore(now, p.fenceFor(w)) {
		w.acks.mayForget, w.acks.mayForgetSince = true, now
	}
}

// MayForgetEnds reports whether a worker is to be recorded as one that may have forgotten ends.
func (p *Pool) MayForgetEnds(id string) bool {
	w := p.workers[id]
	return w != nil && w.acks.mayForget
}

// mayForgetSuccess reports whether a task of the step could be started again after it has succeeded on the worker.
func mayForgetSuccess(s *step, w *worker) bool { return w.acks.mayForget && !s.spec.GetPersistent() }

// permitsEnds reports whether the step may use the worker as far as ends are concerned that it may forget. A gang may be started there to
// be stopped.
func (p *Pool) permitsEnds(now time.Time, s *step, w *worker) bool {
	return !mayForgetSuccess(s, w) || s.spec.GetGang() && (s.provesEnds(now) || p.isLastResort(now, s, w))
}

// provesEnds reports whether a gang is started only for the ends of its members on workers that may have forgotten ends.
func (s *step) provesEnds(now time.Time) bool {
	return s.expected >= minProofRun && now.Sub(s.readySince) >= proofWait
}

// isLastResort reports whether a step whose tasks cannot prove that the worker lists its ends may use it nevertheless: no run is missing
// there, and no other worker is permitted and large enough.
func (p *Pool) isLastResort(now time.Time, s *step, w *worker) bool {
	a := &w.acks
	waited := min(now.Sub(s.readySince), now.Sub(a.mayForgetSince))
	if a.forgets || waited < lastResortWait {
		return false
	}
	return waited >= lastResortLimit || !slices.ContainsFunc(p.sortedWorkers, func(other *worker) bool {
		return !other.acks.mayForget && other.usable(now) && s.need.fits(other.Capacity) && p.permits(now, s, other)
	})
}

// canProveEnds reports whether the task can be started only for its end.
func (t *task) canProveEnds() bool {
	s := t.step
	return !s.spec.GetPersistent() && !s.spec.GetGang() && !t.crashes.suspected && s.expected >= minProofRun
}

// startOnUnprovenWorker starts a task that finds no other worker on one that may have forgotten ends. It is stopped at once, if it can be: if
// the worker lists the end, it lists all later ones. It reports whether it has started the task.
func (p *Pool) startOnUnprovenWorker(now time.Time, t *task, usable []*worker) bool {
	s := t.step
	for _, w := range usable {
		if !mayForgetSuccess(s, w) || !s.need.fits(w.free()) || !p.permitsApartFromEnds(now, s, w) || !p.permitsTrials(now, t, w) {
			continue
		}
		if math.IsInf(p.cost(now, t, w), 1) {
			continue
		}
		proves := t.canProveEnds()
		if proves && (now.Sub(t.waitingSince) < proofWait || !w.acceptsProof()) || !proves && (w.hasBatchRun() || !p.isLastResort(now, s, w)) {
			continue
		}
		p.start(now, t, w, p.nextRun()).provesEnds = proves
		return true
	}
	return false
}

// acceptsProof reports whether another run may be started on the worker only for its end.
func (w *worker) acceptsProof() bool {
	n := 0
	for _, r := range w.runs {
		if r.provesEnds {
			n++
		}
	}
	return n == 0 || w.acks.forgets && n < maxProofs
}

func (w *worker) hasBatchRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == nil || !r.task.step.spec.GetPersistent() })
}

// stopProof stops a run that was started only for its end, if its worker has not listed any in the meantime.
func (p *Pool) stopProof(now time.Time, r *run) {
	if r.provesEnds && r.worker.acks.mayForget {
		p.stop(now, r, reasonProvesEnds)
	}
}

// noteEndListed records that the worker has listed an end in answer to a call with its fence.
func (p *Pool) noteEndListed(now time.Time, w *worker) {
	if w.acks.mayForget {
		p.wakePlacement(now)
	}
	w.acks.endListed, w.acks.mayForget = true, false
}

// noteMissing records that a run has ended without a listed end.
func (p *Pool) noteMissing(now time.Time, r *run) {
	w := r.worker
	if w.acks.endListed || r.born != w.Born {
		return
	}
	if !w.acks.mayForget {
		w.acks.mayForget, w.acks.mayForgetSince = true, now
	}
	w.acks.forgets = true
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionEndsForgotten, Worker: w.ID, Born: w.Born})
}
