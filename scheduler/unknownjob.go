package scheduler

import "time"

// lookupInterval is the time after which an unknown job is looked up again.
const lookupInterval = time.Second

// unknownJob is a job that is not known although a previous owner has started its tasks. It may have been accepted since the pool was
// taken over, so the ends of its runs are held: they are applied when the job arrives, and acknowledged before only if there is no
// such job any more.
type unknownJob struct {
	ends    []heldEnd
	askedAt time.Time
}

type heldEnd struct {
	worker *worker
	end    EndedRun
	entry  *unackedEnd
}

// mayArrive reports whether the unknown job of an ended run may exist.
func (p *Pool) mayArrive(e *EndedRun) bool {
	return e.Run>>runCounterBits < int64(p.cfg.Fence) && p.forgotten[e.Task.Job].IsZero() //nolint:gosec // revisions are small
}

// holdEnd holds the end of a run of an unknown job.
func (p *Pool) holdEnd(w *worker, e *EndedRun) {
	u := p.unknownJobs[e.Task.Job]
	if u == nil {
		u = &unknownJob{}
		p.unknownJobs[e.Task.Job] = u
	}
	entry := &unackedEnd{number: e.Number, task: e.Task, run: e.Run, unknown: true}
	w.ends.unacked = append(w.ends.unacked, entry)
	u.ends = append(u.ends, heldEnd{worker: w, end: *e, entry: entry})
}

// applyHeldEnds applies the held ends of a job that has arrived.
func (p *Pool) applyHeldEnds(now time.Time, j *job) {
	u := p.unknownJobs[j.id]
	if u == nil {
		return
	}
	delete(p.unknownJobs, j.id)
	for _, h := range u.ends {
		h.entry.unknown, h.entry.job = false, j
		if p.applyEnd(now, h.worker, j, &h.end) {
			h.entry.version = j.rec.version
		}
	}
}

// MarkAbsent records that a job that a Step asked for does not exist.
func (p *Pool) MarkAbsent(id string) {
	u := p.unknownJobs[id]
	if u == nil {
		return
	}
	delete(p.unknownJobs, id)
	for _, h := range u.ends {
		h.entry.unknown = false
	}
}

// requestLookups asks for the unknown jobs.
func (p *Pool) requestLookups(now time.Time) {
	for _, id := range sortedKeys(p.unknownJobs) {
		u := p.unknownJobs[id]
		if next := u.askedAt.Add(lookupInterval); now.Before(next) {
			p.wake(next)
			continue
		}
		u.askedAt = now
		p.out.Lookups = append(p.out.Lookups, id)
		p.wake(now.Add(lookupInterval))
	}
}
