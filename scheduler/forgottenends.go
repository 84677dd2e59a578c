package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// maxLateCall is how much later a call without an answer may still be carried out.
	maxLateCall = 30 * time.Second
	// proofInterval is the time between two starts that are to prove that a worker lists its ends.
	proofInterval = time.Second
	// proofWait is how long a task waits for other workers before it is started for this. One that is expected to last less than
	// minProofRun, and may succeed before its stop arrives, waits for shortProofWait.
	proofWait      = 500 * time.Millisecond
	shortProofWait = 2 * time.Second
	minProofRun    = 400 * time.Millisecond
	// lastResortWait is how long steps whose tasks cannot be started for this wait for other workers: gangs, and those with tasks that
	// are suspected of crashing workers.
	lastResortWait = 2 * time.Second
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
	// forgotten ends that it has not listed.
	endListed, mayForget bool
	// proof is the last run that was started to prove that the present incarnation lists its ends, nextProofAt when the next one may be.
	proof       *run
	nextProofAt time.Time
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
	a.open = append(a.open, openAck{fence, now})
	return acknowledged
}

// reset begins the log of a later incarnation.
func (a *ackLog) reset() { *a = ackLog{open: a.open} }

// openBefore reports whether an earlier incarnation than the one with this fence was sent an acknowledgement that may have reached a
// later one.
func (a *ackLog) openBefore(now time.Time, fence uint64) bool {
	a.open = slices.DeleteFunc(a.open, func(o openAck) bool { return now.Sub(o.sentAt) > maxLateCall })
	return slices.ContainsFunc(a.open, func(o openAck) bool { return o.fence != fence })
}

// AckResult is what became of the acknowledgement of a hold.
type AckResult int

// Results of acknowledgements. Without either, it may still be carried out.
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
	inherited := w.returned && w.heldEarlier && now.Sub(p.takeover.startedAt) < maxLateCall
	w.acks.mayForget = inherited || w.acks.openBefore(now, p.fenceFor(w))
}

// mayForgetSuccess reports whether a task of the step could be started again after it has succeeded on the worker.
func (p *Pool) mayForgetSuccess(now time.Time, s *step, w *worker) bool {
	if !w.acks.mayForget || s.spec.GetPersistent() || s.spec.GetSpeculative() {
		return false
	}
	return now.Sub(s.readySince) < lastResortWait || !s.spec.GetGang() && s.countSuspected() == 0
}

// proveEnds starts a task that finds no other worker on one that may have forgotten ends, and stops it at once: if the worker lists the
// end, it lists all later ones. It reports whether it has started the task.
func (p *Pool) proveEnds(now time.Time, t *task, usable []*worker) bool {
	s := t.step
	wait := proofWait
	if s.expected < minProofRun {
		wait = shortProofWait
	}
	if s.spec.GetPersistent() || s.spec.GetSpeculative() || now.Sub(t.waitingSince) < wait {
		return false
	}
	for _, w := range usable {
		a := &w.acks
		if now.Before(a.nextProofAt) || a.proof != nil && a.proof.state != runOver || !a.mayForget {
			continue
		}
		if !s.need.fits(w.free()) || !p.permitsApartFromEnds(now, s, w) || !p.permitsTrials(now, t, w) || math.IsInf(p.cost(now, t, w), 1) {
			continue
		}
		a.proof, a.nextProofAt = p.start(now, t, w, p.nextRun()), now.Add(proofInterval)
		p.wake(a.nextProofAt)
		return true
	}
	return false
}

// provesEnds reports whether the run was started only for its end.
func (r *run) provesEnds() bool { return r.worker.acks.proof == r }

// noteEndListed records that the worker has listed an end in answer to a call with its fence.
func (p *Pool) noteEndListed(now time.Time, w *worker) {
	if w.acks.mayForget {
		p.wakePlacement(now)
	}
	w.acks.endListed, w.acks.mayForget = true, false
}

// noteMissing records that a run has ended without a listed end.
func (p *Pool) noteMissing(w *worker) {
	if w.acks.endListed {
		return
	}
	w.acks.mayForget = true
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionEndsForgotten, Worker: w.ID, Born: w.Born})
}
