package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// takeoverMargin is added to the longest lease, with its drift, before workers that stay silent are given up.
const takeoverMargin = 500 * time.Millisecond

// settleMargin is the time until the end of a stopped run is listed here.
const settleMargin = 500 * time.Millisecond

// takeover follows which workers may still run tasks of an owner of before.
type takeover struct {
	started  bool
	done     bool
	at       time.Time
	doneAt   time.Time
	registry bool
	// unknown means that other workers than those waited for may run something.
	unknown bool
	waiting map[string]bool
	// expected counts the workers that were waited for.
	expected int
}

func (t *takeover) expect(_ time.Time, id string) {
	if t.started && !t.done {
		t.waiting[id] = true
		t.expected++
	}
}

func (t *takeover) heard(id string) {
	delete(t.waiting, id)
}

// holds tells whether tasks have to wait, as they may run on workers that have not been heard. That goes for jobs accepted
// since, too: an owner that does not know yet that it was replaced may have been told of them.
func (t *takeover) holds() bool {
	return t.started && !t.done
}

// settled tells whether stops that an owner of before has ordered must have shown. Budgets are not spent before.
func (t *takeover) settled(now time.Time, stopTime time.Duration) bool {
	return !t.started || (t.done && now.Sub(t.doneAt) > stopTime+settleMargin)
}

// lapsed tells whether everything that an owner of before has started and that was not heard of has lapsed.
func (t *takeover) lapsed(now time.Time, lease time.Duration) bool {
	return !t.started || !now.Before(t.limit(lease))
}

// limit is when the leases given by an owner of before have lapsed.
func (t *takeover) limit(lease time.Duration) time.Time {
	return t.at.Add(longestLease(lease))
}

// longestLease is how long a lease may last here, as a worker's clock may be slow.
func longestLease(lease time.Duration) time.Duration {
	const drift = 1.03
	return time.Duration(float64(lease)*drift) + takeoverMargin
}

// Load takes what the owners of before have left. It comes once, before anything else.
func (p *Pool) Load(now time.Time, jobs []*pb.JobRecord, progress []*pb.JobProgress, cancelled []string) {
	p.takeover = takeover{started: true, at: now, waiting: map[string]bool{}}
	for _, id := range p.order {
		p.takeover.waiting[id.ID] = true
	}
	byID := make(map[string]*pb.JobProgress, len(progress))
	for _, pr := range progress {
		byID[pr.GetId()] = pr
	}
	gone := make(map[string]bool, len(cancelled))
	for _, id := range cancelled {
		gone[id] = true
	}
	for _, rec := range jobs {
		p.loadJob(now, rec, byID[rec.GetId()], gone[rec.GetId()])
		delete(byID, rec.GetId())
		delete(gone, rec.GetId())
	}
	for _, pr := range progress {
		if _, open := byID[pr.GetId()]; open && jobstate.Final(pr.GetState()) {
			p.loadJob(now, &pb.JobRecord{Id: pr.GetId(), Queue: pr.GetQueue()}, pr, gone[pr.GetId()])
			delete(gone, pr.GetId())
		}
	}
	for _, id := range sortedKeys(gone) {
		p.earlyCancels[id] = now
	}
}

func (p *Pool) loadJob(now time.Time, rec *pb.JobRecord, pr *pb.JobProgress, cancelled bool) {
	if p.jobs[rec.GetId()] != nil {
		return
	}
	j := p.newJob(now, rec)
	p.jobs[j.id] = j
	if jobstate.Final(pr.GetState()) {
		j.state = pr.GetState()
		j.cancelled = j.state == pb.JobState_JOB_STATE_CANCELLED
		j.reason = pr.GetReason()
		j.endedAt = now // the clock of the owner that wrote EndedMs may have been behind
		j.past = countsOf(pr.GetCounts())
		p.ended = append(p.ended, j)
		return
	}
	if cancelled {
		p.cancelJob(now, j)
		return
	}
	j.started = pr.GetState() == pb.JobState_JOB_STATE_RUNNING
	p.loadProgress(now, j, pr)
	p.begin(now, j)
}

// loadProgress takes recorded progress into the job without recording it again, unless it completes by it.
func (p *Pool) loadProgress(now time.Time, j *job, pr *pb.JobProgress) {
	for _, op := range pr.GetOccurrences() {
		number := int(op.GetOccurrence())
		if number < 0 || number >= j.total || j.finished[number] {
			continue
		}
		if len(op.GetSteps()) == 0 {
			j.finished[number] = true
			j.past.succeeded += tasksOf(j.spec)
			continue
		}
		due := j.accepted
		if j.spec.GetRepeatCount() > 0 {
			due = j.dueAt(number)
		}
		o := p.openOccurrence(now, j, number, due)
		for i, sp := range op.GetSteps() {
			if i < len(o.steps) {
				p.loadStep(now, o.steps[i], sp)
			}
		}
	}
}

func (p *Pool) loadStep(now time.Time, s *step, sp *pb.StepProgress) {
	bits := sp.GetSucceeded()
	for i := range s.tasks {
		t := &s.tasks[i]
		index := int64(i)
		t.failures = int(sp.GetFailures()[index])
		t.failedRuns = slices.Clone(sp.GetFailedRuns()[index].GetRuns())
		t.checkpoint = sp.GetCheckpoints()[index]
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			p.restoring = true
			p.succeed(now, t)
			p.restoring = false
		}
	}
}

// Occupied tells whether a worker may run something of this owner or of one before, as far as is known.
func (p *Pool) Occupied(id string) bool {
	w := p.workers[id]
	switch {
	case w == nil || w.gone:
		return false
	case len(w.runs) > 0:
		return true
	}
	return p.takeover.started && !p.takeover.done && p.takeover.waiting[id]
}

// UnknownWorkers says that not all workers of the owners of before are known: what runs there has to lapse. It follows Load.
func (p *Pool) UnknownWorkers() { p.takeover.unknown = true }

// allHeard tells whether every worker that may run something of an owner of before has been heard.
func (t *takeover) allHeard() bool { return t.registry && !t.unknown && len(t.waiting) == 0 }

// checkTakeover lets tasks start once nothing of an owner of before can run unseen.
func (p *Pool) checkTakeover(now time.Time) {
	t := &p.takeover
	if !t.started || t.done {
		return
	}
	limit := t.limit(p.cfg.Lease)
	if now.Before(limit) && !t.allHeard() {
		p.wake(limit)
		return
	}
	reason := "all workers have been heard"
	if !t.allHeard() {
		reason = "leases of workers that were not heard have lapsed"
	}
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionTakenOver, Workers: t.expected, Reason: reason, Age: now.Sub(t.at),
	})
	t.done = true
	t.doneAt = now
	t.waiting = nil
	p.place = true
}

// adopt takes a run that an owner of before has started, or stops it if nobody wants it.
func (p *Pool) adopt(now time.Time, w *worker, entry *RunningTask) *run {
	j := p.jobs[entry.Task.Job]
	if j == nil {
		r := p.newRun(w, entry.Task, entry.Run, nil)
		p.orphans[entry.Task.Job] = append(p.orphans[entry.Task.Job], r)
		p.stop(now, r, "unknown job")
		return r
	}
	if j.over() {
		r := p.newRun(w, entry.Task, entry.Run, nil)
		p.reserve(r, j)
		p.stop(now, r, "job has ended")
		return r
	}
	t := p.task(now, j, entry.Task)
	r := p.newRun(w, entry.Task, entry.Run, t)
	if t == nil {
		p.reserve(r, j)
		p.stop(now, r, "unknown task")
		return r
	}
	p.unqueue(t)
	p.place = true
	if t.done {
		p.stop(now, r, "task is done")
		return r
	}
	p.settleRivals(now, t)
	return r
}

// reserve counts the room of a run that has no task any more.
func (p *Pool) reserve(r *run, j *job) {
	steps := j.spec.GetSteps()
	if r.id.Step < 0 || r.id.Step >= len(steps) {
		return
	}
	s := newStep(nil, r.id.Step, steps[r.id.Step])
	r.worker.used = r.worker.used.plus(s.need)
	r.need = s.need
}

// settleRivals keeps the run with the highest number of a task that may have only one.
func (p *Pool) settleRivals(now time.Time, t *task) {
	if t.step.spec.GetSpeculative() || len(t.runs) < 2 {
		return
	}
	best := t.runs[0]
	for _, r := range t.runs {
		if r.number > best.number && !r.stopping {
			best = r
		}
	}
	for _, r := range t.runs {
		if r != best {
			p.stop(now, r, "rival of a later run")
		}
	}
}

func (p *Pool) unqueue(t *task) {
	if at := slices.Index(t.step.ready, t.index); at >= 0 {
		t.step.ready = slices.Delete(t.step.ready, at, at+1)
	}
}

// adoptOrphans ties runs that were seen before their job was known to its tasks. They are being stopped.
func (p *Pool) adoptOrphans(j *job) {
	runs := p.orphans[j.id]
	delete(p.orphans, j.id)
	for _, r := range runs {
		t := p.task(time.Time{}, j, r.id)
		if t == nil || r.state == runOver {
			continue
		}
		p.unqueue(t)
		r.task = t
		t.runs = append(t.runs, r)
		t.step.active[r.worker]++
		r.need = t.step.need
		r.worker.used = r.worker.used.plus(r.need)
		if r.fills() {
			r.worker.fillers++
			r.worker.fillCPU += t.step.spec.GetCpuMilli()
		}
	}
}

func (p *Pool) dropOrphan(r *run) {
	id := r.id.Job
	runs := p.orphans[id]
	if at := slices.Index(runs, r); at >= 0 {
		runs = slices.Delete(runs, at, at+1)
	}
	if len(runs) == 0 {
		delete(p.orphans, id)
		return
	}
	p.orphans[id] = runs
}
