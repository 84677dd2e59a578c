package scheduler

import (
	"sort"
	"time"
)

// endPage is how many ends a worker lists at once; a list as long may miss some.
const endPage = 500

// endLog keeps the ends of one lifetime that may not be acknowledged yet.
type endLog struct {
	// taken is the highest end taken, acked the highest that may be acknowledged.
	taken, acked int64
	waiting      []waitingEnd
}

// waitingEnd may be acknowledged once the version of the job's progress is durable.
type waitingEnd struct {
	number  int64
	job     *job
	version uint64
}

// acknowledge returns the number up to which ends may be forgotten by the worker.
func (p *Pool) acknowledge(w *worker) int64 {
	l := &w.ends
	for len(l.waiting) > 0 {
		e := l.waiting[0]
		if e.job.rec.recorded < e.version && !e.job.cancelled {
			break
		}
		l.acked = e.number
		l.waiting = l.waiting[1:]
	}
	if len(l.waiting) == 0 {
		l.acked = l.taken
		l.waiting = nil
	}
	return l.acked
}

// Report takes a worker's answer to a hold.
func (p *Pool) Report(now time.Time, r Report) {
	w := p.workers[r.Worker]
	if w == nil {
		return
	}
	if r.Fenced {
		p.fenced = true
		return
	}
	if r.Gone {
		if r.Born != 0 || !r.Sent.Before(w.lastReport) {
			p.lifetimeGone(now, w, r.Born)
		}
		return
	}
	if !p.sameLifetime(now, w, &r) {
		return
	}
	w.clock.observe(r.Clock, r.Received)
	if r.Received.After(w.lastReport) {
		w.lastReport = r.Received
	}
	if !w.reported {
		p.firstReport(now, w, &r)
	}
	p.takeEnds(now, w, r.Ended)
	if r.Clock <= w.listClock {
		return
	}
	w.listClock = r.Clock
	w.listSent = r.Sent
	w.doubt = 0
	p.takeRunning(now, w, &r)
}

func (p *Pool) firstReport(now time.Time, w *worker, r *Report) {
	w.reported = true
	if len(r.Running) > 0 || len(w.runs) > 0 {
		// An owner of before, or a start to the lifetime before, may have extended the lease up to now.
		w.leaseUntil = max(w.leaseUntil, r.Clock+p.cfg.MaxLease.Milliseconds())
	}
	p.takeover.heard(w.ID)
	p.wakePlacement(now)
}

// lifetimeGone takes note that another lifetime answers where the one that was born then is expected.
func (p *Pool) lifetimeGone(now time.Time, w *worker, born int64) {
	if born != 0 && born < w.Born {
		return
	}
	if w.gone {
		return
	}
	p.lifetimeOver(now, w, "worker is gone", func(*run) bool { return true })
	w.gone = true
	w.goneAt = now
	p.takeover.heard(w.ID)
}

// sameLifetime tells whether the report belongs to the lifetime that is known, after taking note of a newer one.
func (p *Pool) sameLifetime(now time.Time, w *worker, r *Report) bool {
	if r.Born != 0 && r.Born < w.Born {
		return false
	}
	if r.Born > w.Born {
		if w.Born != 0 || w.reported {
			p.restarted(now, w)
		}
		w.Born = r.Born
		w.gone = false
		return true
	}
	if w.gone {
		if r.Sent.Before(w.goneAt) {
			return false
		}
		w.gone = false
	}
	return true
}

func (p *Pool) takeEnds(now time.Time, w *worker, ends []EndedRun) {
	if !sort.SliceIsSorted(ends, func(a, b int) bool { return ends[a].Number < ends[b].Number }) {
		ends = append([]EndedRun(nil), ends...)
		sort.Slice(ends, func(a, b int) bool { return ends[a].Number < ends[b].Number })
	}
	for i := range ends {
		e := &ends[i]
		if e.Number <= w.ends.taken {
			continue
		}
		j := p.jobs[e.Task.Job]
		if p.takeEnd(now, w, j, e) {
			w.ends.waiting = append(w.ends.waiting, waitingEnd{e.Number, j, j.rec.version})
		}
		w.ends.taken = e.Number
	}
}

// takeEnd takes one end and returns whether it has to be recorded before it is acknowledged.
func (p *Pool) takeEnd(now time.Time, w *worker, j *job, e *EndedRun) bool {
	if r := w.byKey[runKey{e.Task, e.Run}]; r != nil {
		return p.endRun(now, r, e.End, e.Checkpoint)
	}
	if j == nil {
		return false
	}
	if j.over() {
		return j.endUnrecorded(e.End)
	}
	t := p.task(now, j, e.Task)
	if t == nil {
		return j.endUnrecorded(e.End)
	}
	p.markStarted(j)
	return p.settle(now, t, &run{id: e.Task, number: e.Run, task: t, worker: w, state: runOver}, e.End, e.Checkpoint)
}

func (p *Pool) takeRunning(now time.Time, w *worker, rep *Report) {
	p.counterMark++
	for i := range rep.Running {
		entry := &rep.Running[i]
		r := w.byKey[runKey{entry.Task, entry.Run}]
		if r == nil {
			r = p.adopt(now, w, entry)
		}
		r.mark = p.counterMark
		p.seen(now, r, entry)
	}
	if len(rep.Ended) < endPage {
		p.missing(now, w, rep)
	}
	if len(w.runs) == 0 && w.evacuating {
		w.emptyConfirmed = true
	}
}

func (p *Pool) seen(now time.Time, r *run, entry *RunningTask) {
	if r.state != runRunning {
		r.state = runRunning
		if r.unresolvedStop() && r.wanted() {
			// It runs after all. Should the stop still come, its end is listed.
			r.stopping = false
		}
		r.seenAt = now
		r.percentAt = now
		if r.task != nil {
			p.markStarted(r.task.job())
		}
	}
	if entry.Percent != r.percent {
		p.learnPercent(now, r, entry.Percent)
		r.percent = entry.Percent
		r.percentAt = now
	}
	r.tail = entry.Tail
	p.checkStall(now, r)
	if entry.Checkpoint != "" && entry.Checkpoint != r.checkpoint {
		r.checkpoint = entry.Checkpoint
		if r.task != nil && !r.task.done {
			r.task.takeCheckpoint(r.number, entry.Checkpoint)
		}
	}
}

// missing ends the runs that a report does not list although it was made after they had to be there.
func (p *Pool) missing(now time.Time, w *worker, rep *Report) {
	var lost []*run
	for _, r := range w.runs {
		if r.mark != p.counterMark && r.absent(rep) {
			lost = append(lost, r)
		}
	}
	for _, r := range lost {
		if r.state == runOrdered || r.state == runUnknown {
			p.decide("never began", r, r.stopReason)
			p.refused(now, r)
			continue
		}
		p.decide("lost", r, "missing on the worker")
		p.endRun(now, r, EndLapsed, "")
	}
}

// absent tells whether a report that does not list the run proves that it does not execute and never will.
func (r *run) absent(rep *Report) bool {
	switch r.state {
	case runRunning:
		return true
	case runAccepted:
		return r.answered.before(rep) || r.stopAcked.before(rep)
	default:
		return r.stopAcked.before(rep) || rep.Clock > r.until
	}
}
