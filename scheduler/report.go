package scheduler

import (
	"sort"
	"time"

	"github.com/samber/lo"
)

// endLog tracks the ended runs of one incarnation that may not be acknowledged yet.
type endLog struct {
	// received is the highest end number received, acked the highest that may be acknowledged.
	received, acked int64
	unacked         []*unackedEnd
}

// unackedEnd may be acknowledged once this version of the job's progress is durable, and not while its job is unknown.
type unackedEnd struct {
	number  int64
	task    TaskID
	run     int64
	job     *job
	version uint64
	unknown bool
}

// mayAck reports whether the end may be acknowledged.
func (e *unackedEnd) mayAck() bool {
	return !e.unknown && (e.job == nil || e.job.rec.recorded >= e.version || e.job.cancelled)
}

// unrecorded returns the ends that the incarnation has to keep for a later owner.
func (l *endLog) unrecorded() []*unackedEnd {
	return lo.Reject(l.unacked, func(e *unackedEnd, _ int) bool { return e.mayAck() })
}

// Acknowledged returns the number up to which the ended runs of a worker may be discarded.
func (p *Pool) Acknowledged(id string) int64 {
	if w := p.workers[id]; w != nil {
		return p.acknowledge(w)
	}
	return 0
}

// acknowledge returns the number up to which the worker may discard its ended runs.
func (p *Pool) acknowledge(w *worker) int64 {
	l := &w.ends
	for len(l.unacked) > 0 {
		e := l.unacked[0]
		if !e.mayAck() {
			break
		}
		l.acked = e.number
		l.unacked = l.unacked[1:]
	}
	if len(l.unacked) == 0 {
		l.acked = l.received
		l.unacked = nil
	}
	return l.acked
}

// Report applies a worker's response to a hold.
func (p *Pool) Report(now time.Time, r Report) {
	w := p.workers[r.Worker]
	if w == nil {
		return
	}
	if r.Fenced {
		p.fenced = p.fenced || p.isCurrentFence(w, r.Fence)
		return
	}
	if r.Gone {
		p.handleWrongInstance(now, w, r.Address, r.Sent)
		return
	}
	if !p.acceptIncarnation(now, w, &r) {
		return
	}
	w.clock.observe(r.Clock, r.Received)
	w.lastClock = max(w.lastClock, r.Clock)
	w.expired = nil
	if !w.trialPolledAt.IsZero() && !r.Received.Before(w.trialPolledAt) {
		w.trialPolledAt = time.Time{}
		p.placementDue = true
	}
	if r.Received.After(w.lastReport) {
		w.lastReport = r.Received
		w.heardAt = r.Address
		w.unreachable = false
	}
	if !w.reported {
		p.firstReport(now, w, &r)
	}
	if len(r.Ended) > 0 && p.isCurrentFence(w, r.Fence) {
		p.noteEndListed(now, w)
	}
	p.applyEnds(now, w, r.Ended)
	if r.Clock <= w.listClock {
		return
	}
	w.listClock = r.Clock
	w.listSent = r.Sent
	w.unansweredStarts = 0
	p.applyRunningList(now, w, &r)
}

// firstReport applies the first answers of an incarnation, up to that of a hold with its fence. Until then calls of earlier owners,
// or meant for an earlier incarnation, may extend the lease and start runs, so nothing is started.
func (p *Pool) firstReport(now time.Time, w *worker, r *Report) {
	if w.unsettled || !w.Unused {
		w.assumedUntil = max(w.assumedUntil, r.Clock+p.cfg.MaxLease.Milliseconds())
	}
	if !p.isCurrentFence(w, r.Fence) {
		p.out.Poll = append(p.out.Poll, w.ID)
		return
	}
	w.reported, w.reportedAt = true, r.Received
	p.checkAcks(now, w)
	p.addUnrecordedRuns(w, r)
	w.awaitsConfirmation = w.unsettled
	if !p.listsAllEnds(r) && !p.earlierLeasesExpired(now, w) {
		p.hideEnds(w, r)
	}
	p.takeover.markReported(w.ID)
	p.wakePlacement(now)
}

// handleWrongInstance applies that another worker has answered a call sent to an address. An address has one worker at a time, so
// this proves the end of an incarnation that was heard from there before. Any other address is known only from the registry or
// from the roster, which may be wrong: the worker then counts as one that does not answer. Of an incarnation that has ended, the
// unanswered starts that were sent to the address are over as well: no later one with this id executes them there.
func (p *Pool) handleWrongInstance(now time.Time, w *worker, address string, sent time.Time) {
	switch {
	case sent.Before(w.lastReport):
	case w.replaced:
		p.endRuns(now, w, reasonWrongInstance, func(r *run) bool { return r.address == address })
	case w.reported && address == w.heardAt:
		p.markEnded(now, w, reasonWrongInstance, func(*run) bool { return true })
	default:
		w.unreachable = true
	}
}

// acceptIncarnation reports whether the report belongs to the current incarnation. It first switches to a newer one
// if the report names one.
func (p *Pool) acceptIncarnation(now time.Time, w *worker, r *Report) bool {
	if r.Born != 0 && r.Born < w.Born {
		return false
	}
	if r.Born > w.Born {
		if w.Born != 0 || w.reported {
			p.handleRestart(now, w, reasonLaterAnswered)
		}
		w.Born = r.Born
		w.replaced = false
		return true
	}
	if w.replaced {
		if r.Sent.Before(w.replacedAt) {
			return false
		}
		w.replaced = false
	}
	return true
}

func (p *Pool) applyEnds(now time.Time, w *worker, ends []EndedRun) {
	if !sort.SliceIsSorted(ends, func(a, b int) bool { return ends[a].Number < ends[b].Number }) {
		ends = append([]EndedRun(nil), ends...)
		sort.Slice(ends, func(a, b int) bool { return ends[a].Number < ends[b].Number })
	}
	for i := range ends {
		e := &ends[i]
		if e.Number <= w.ends.received {
			continue
		}
		j := p.jobs[e.Task.Job]
		if p.applyEnd(now, w, j, e) {
			w.ends.unacked = append(w.ends.unacked, &unackedEnd{number: e.Number, task: e.Task, run: e.Run, job: j, version: j.rec.version})
			j.rec.urgent = j.rec.urgent || w.evacuating
		} else if j == nil && p.mayArrive(e) {
			p.holdEnd(w, e)
		}
		w.ends.received = e.Number
	}
}

// applyEnd applies one ended run and returns whether it must be recorded before it is acknowledged.
func (p *Pool) applyEnd(now time.Time, w *worker, j *job, e *EndedRun) bool {
	if r := w.byKey[runKey{e.Task, e.Run}]; r != nil {
		return p.endRun(now, r, e.End, e.Checkpoint)
	}
	if j == nil {
		return false
	}
	if j.isTerminal() {
		return j.hasUnrecordedEnd(e.End)
	}
	t := p.task(now, j, e.Task)
	if t == nil {
		return j.hasUnrecordedEnd(e.End)
	}
	t.crashes.endPresumption()
	p.markStarted(j)
	return p.applyRunEnd(now, t, &run{id: e.Task, number: e.Run, task: t, worker: w, state: runOver}, e.End, e.Checkpoint)
}

func (p *Pool) applyRunningList(now time.Time, w *worker, rep *Report) {
	p.reportSeq++
	for i := range rep.Running {
		entry := &rep.Running[i]
		r := w.byKey[runKey{entry.Task, entry.Run}]
		if r == nil {
			r = p.adopt(now, w, entry)
		}
		if r.task != nil {
			r.task.crashes.endPresumption()
		}
		r.lastReportSeq = p.reportSeq
		p.updateRunning(now, r, entry)
	}
	if p.listsAllEnds(rep) {
		p.endMissingRuns(now, w, rep)
		p.showEnds(now, w, reasonEndsListed)
	}
	if len(w.runs) == 0 && w.evacuating && !w.endsHidden {
		w.emptyConfirmed = true
	}
}

func (p *Pool) updateRunning(now time.Time, r *run, entry *RunningTask) {
	if r.begunClock == 0 {
		r.begunClock = r.worker.listClock
	}
	if r.state != runRunning {
		r.state, r.born = runRunning, r.worker.Born
		if r.unresolvedStop() && r.mayContinue() {
			// The start was carried out after all. If the stop still takes effect, the end of the run is reported.
			r.stopping = false
		}
		r.runningSince = now
		r.markProgress(now, r.worker.listClock)
		p.stopProof(now, r)
		if r.task != nil {
			p.markStarted(r.task.job())
		}
	}
	if entry.Percent != r.percent {
		p.learnPercent(now, r, entry.Percent)
		r.percent = entry.Percent
		r.markProgress(now, r.worker.listClock)
	}
	r.tail = entry.Tail
	p.checkStall(now, r)
	if entry.Checkpoint != "" && entry.Checkpoint != r.checkpoint {
		r.checkpoint = entry.Checkpoint
		if r.task != nil && !r.task.done {
			r.task.setCheckpoint(r.number, entry.Checkpoint)
		}
	}
}

// provenAbsentBy reports whether a report that omits the run proves that the run does not execute and never will.
func (r *run) provenAbsentBy(rep *Report) bool {
	switch r.state {
	case runRunning:
		return true
	case runAccepted:
		return rep.madeAfter(r.answered) || rep.madeAfter(r.stopAcked)
	default:
		return rep.madeAfter(r.stopAcked) || rep.Clock > r.until
	}
}

// madeAfter reports whether the worker has certainly made the report after an answer to an order that had arrived at the given time.
// Readings of the worker's clock do not tell: that of an order's answer may be of a later incarnation than the report.
func (r *Report) madeAfter(answered time.Time) bool {
	return !answered.IsZero() && !r.Sent.Before(answered)
}
