package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/jobstate"
)

// takeoverMargin is added to the longest lease, including clock drift, before silent workers are no longer waited
// for.
const takeoverMargin = 500 * time.Millisecond

// stopReportMargin is how long it may take until the end of a stopped run is reported to this owner.
const stopReportMargin = 500 * time.Millisecond

// takeover tracks which workers may still run tasks of a previous owner.
type takeover struct {
	started        bool
	done           bool
	startedAt      time.Time
	doneAt         time.Time
	registryLoaded bool
	// rosterIncomplete means that workers other than the awaited ones may run something.
	rosterIncomplete bool
	awaited          map[string]bool
	// awaitedTotal counts the workers that were waited for.
	awaitedTotal int
}

func (t *takeover) expect(_ time.Time, id string) {
	if t.started && !t.done {
		t.awaited[id] = true
		t.awaitedTotal++
	}
}

func (t *takeover) markReported(id string) {
	delete(t.awaited, id)
}

// blocksStarts reports whether tasks must wait because they may run on workers that have not reported. This also
// holds for jobs accepted since the takeover: an owner that does not know yet that it was replaced may have received
// and started them.
func (t *takeover) blocksStarts() bool {
	return t.started && !t.done
}

// stopsSettled reports whether the effects of all stops ordered by a previous owner must be visible. Until then,
// disruption budgets permit no stop.
func (t *takeover) stopsSettled(now time.Time, stopTime time.Duration) bool {
	return !t.started || (t.done && now.Sub(t.doneAt) > stopTime+stopReportMargin)
}

// earlierLeasesExpired reports whether everything that a previous owner started on the worker, and that it has not reported, has
// lost its lease.
func (p *Pool) earlierLeasesExpired(now time.Time, w *worker) bool {
	limit := p.takeover.leaseDeadline(p.inheritedLease(w))
	return !p.takeover.started || (!now.Before(limit) && p.confirmedSince(limit))
}

// leaseDeadline returns when the leases granted by a previous owner have expired.
func (t *takeover) leaseDeadline(lease time.Duration) time.Time {
	return t.startedAt.Add(maxLeaseDuration(lease))
}

// maxLeaseDuration returns how long a lease may last on the owner's clock, as a worker's clock may run slow.
func maxLeaseDuration(lease time.Duration) time.Duration {
	const drift = 1.03
	return time.Duration(float64(lease)*drift) + takeoverMargin
}

// Load restores the state left by previous owners. It is called once, before any other input.
func (p *Pool) Load(now time.Time, jobs []*pb.JobRecord, progress []*pb.JobProgress, cancelled []string) {
	p.takeover = takeover{started: true, startedAt: now, awaited: map[string]bool{}}
	for _, w := range p.sortedWorkers {
		p.takeover.awaited[w.ID] = true
	}
	byID := make(map[string]*pb.JobProgress, len(progress))
	for _, pr := range progress {
		byID[pr.GetId()] = pr
	}
	cancelledIDs := make(map[string]bool, len(cancelled))
	for _, id := range cancelled {
		cancelledIDs[id] = true
	}
	for _, rec := range jobs {
		p.loadJob(now, rec, byID[rec.GetId()], cancelledIDs[rec.GetId()])
		delete(byID, rec.GetId())
		delete(cancelledIDs, rec.GetId())
	}
	for _, pr := range progress {
		if _, unloaded := byID[pr.GetId()]; unloaded && jobstate.Final(pr.GetState()) {
			p.loadJob(now, &pb.JobRecord{Id: pr.GetId(), Queue: pr.GetQueue(), Workspace: pr.GetWorkspace()}, pr, cancelledIDs[pr.GetId()])
			delete(cancelledIDs, pr.GetId())
		}
	}
	for _, id := range sortedKeys(cancelledIDs) {
		p.addEarlyCancel(now, id, jobstate.Requester{})
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
		j.finishedCounts = countsOf(pr.GetCounts())
		p.ended = append(p.ended, j)
		return
	}
	if cancelled {
		p.cancelJob(now, j)
		return
	}
	j.started = pr.GetState() == pb.JobState_JOB_STATE_RUNNING
	p.loadProgress(now, j, pr)
	p.activateJob(now, j)
}

// loadProgress restores the recorded progress of a job without recording it again, unless the job is complete as a
// result.
func (p *Pool) loadProgress(now time.Time, j *job, pr *pb.JobProgress) {
	p.loadCompleted(j, pr)
	for _, op := range pr.GetOccurrences() {
		number := int(op.GetOccurrence())
		if number < 0 || number >= j.totalOccurrences || j.finishedOccurrences.has(number) {
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

// loadCompleted restores the completed occurrences. Records of earlier versions list each of them, without steps.
func (p *Pool) loadCompleted(j *job, pr *pb.JobProgress) {
	for _, r := range pr.GetCompleted() {
		first, end := max(0, r.GetFirst()), min(r.GetFirst()+r.GetCount(), int64(j.totalOccurrences))
		j.finishedOccurrences.addSpan(int(first), int(end))
	}
	for _, op := range pr.GetOccurrences() {
		number := op.GetOccurrence()
		if len(op.GetSteps()) == 0 && number >= 0 && number < int64(j.totalOccurrences) {
			j.finishedOccurrences.add(int(number))
		}
	}
	j.finishedCounts.succeeded += int64(j.finishedOccurrences.count) * tasksPerOccurrence(j.spec)
}

func (p *Pool) loadStep(now time.Time, s *step, sp *pb.StepProgress) {
	bits := sp.GetSucceeded()
	for i := range s.tasks {
		t := &s.tasks[i]
		index := int64(i)
		t.failures = int(sp.GetFailures()[index])
		t.failedRuns = slices.Clone(sp.GetFailedRuns()[index].GetRuns())
		t.checkpoint = sp.GetCheckpoints()[index]
		t.crashes = crashHistoryOf(sp.GetCrashes()[index])
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			p.restoring = true
			p.completeTask(now, t)
			p.restoring = false
		}
	}
	s.ready = slices.DeleteFunc(s.ready, func(i int) bool { return s.tasks[i].done || s.tasks[i].crashes.givenUp })
}

// MarkUnlisted keeps tasks from starting on a worker until it is listed again.
func (p *Pool) MarkUnlisted(id string) {
	if w := p.workers[id]; w != nil {
		w.Unlisted = true
	}
}

// Occupied reports whether a worker may run something of this owner or a previous one, as far as is known, or is or may be the only
// other record of an end that is not durable.
func (p *Pool) Occupied(id string) bool {
	w := p.workers[id]
	switch {
	case w == nil:
		return false
	case len(w.runs) > 0, w.endsHidden, len(w.ends.unrecorded()) > 0:
		return true
	}
	return p.takeover.started && !p.takeover.done && p.takeover.awaited[id]
}

// MarkRosterIncomplete marks the workers of previous owners as not all known, so that their leases must expire before
// tasks start. It is called after Load.
func (p *Pool) MarkRosterIncomplete() { p.takeover.rosterIncomplete = true }

// TakenOver reports whether nothing that a previous owner started can still run unreported, but on sealed workers.
func (p *Pool) TakenOver() bool { return !p.takeover.blocksStarts() }

// allReported reports whether every worker that may run something of a previous owner has reported.
func (t *takeover) allReported() bool {
	return t.registryLoaded && !t.rosterIncomplete && len(t.awaited) == 0
}

// longestAwaitedLease returns how long a lease on a worker that has not reported may last from the takeover on. Workers that the
// record does not name may be unsettled, as may all of them until it has been read.
func (p *Pool) longestAwaitedLease() time.Duration {
	longest := p.cfg.longestLease()
	if p.takeover.rosterIncomplete || !p.takeover.registryLoaded {
		longest = max(longest, p.cfg.MaxLease)
	}
	for id := range p.takeover.awaited {
		if w := p.workers[id]; w != nil {
			longest = max(longest, p.inheritedLease(w))
		}
	}
	return longest
}

// checkTakeover allows starts once nothing started by a previous owner can still run unreported.
func (p *Pool) checkTakeover(now time.Time) {
	t := &p.takeover
	if !t.started || t.done {
		return
	}
	if !t.allReported() && !p.awaitExpiry(now, t.leaseDeadline(p.longestAwaitedLease())) {
		return
	}
	reason := "all workers have reported or are sealed"
	if !t.allReported() {
		reason = "leases of workers that did not report have expired"
	}
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionTakenOver, Workers: t.awaitedTotal, Reason: reason, Age: now.Sub(t.startedAt),
		Unreported: sortedKeys(t.awaited),
	})
	t.done = true
	t.doneAt = now
	t.awaited = nil
	p.placementDue = true
}

// adopt adds a run that a previous owner has started, and stops it if it is not needed.
func (p *Pool) adopt(now time.Time, w *worker, entry *RunningTask) *run {
	j := p.jobs[entry.Task.Job]
	if j == nil {
		r := p.newRun(w, entry.Task, entry.Run, nil)
		p.orphans[entry.Task.Job] = append(p.orphans[entry.Task.Job], r)
		p.stop(now, r, "unknown job")
		return r
	}
	if j.isTerminal() {
		r := p.newRun(w, entry.Task, entry.Run, nil)
		p.chargeTasklessRun(r, j)
		p.stop(now, r, "job has ended")
		return r
	}
	t := p.task(now, j, entry.Task)
	r := p.newRun(w, entry.Task, entry.Run, t)
	if t == nil {
		p.chargeTasklessRun(r, j)
		p.stop(now, r, "unknown task")
		return r
	}
	p.dequeueTask(t)
	p.placementDue = true
	if t.done {
		p.stop(now, r, "task is done")
		return r
	}
	p.stopDuplicateRuns(now, t)
	return r
}

// chargeTasklessRun charges the worker for a run that no longer has a task.
func (p *Pool) chargeTasklessRun(r *run, j *job) {
	steps := j.spec.GetSteps()
	if r.id.Step < 0 || r.id.Step >= len(steps) {
		return
	}
	s := newStep(nil, r.id.Step, steps[r.id.Step])
	r.worker.used = r.worker.used.plus(s.need)
	r.need = s.need
	j.account.add(r)
}

// stopDuplicateRuns keeps the run with the highest number if the task may have only one run.
func (p *Pool) stopDuplicateRuns(now time.Time, t *task) {
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
			p.stop(now, r, "superseded by a later run")
		}
	}
}

func (p *Pool) dequeueTask(t *task) {
	if at, waits := slices.BinarySearch(t.step.ready, t.index); waits {
		t.step.ready = slices.Delete(t.step.ready, at, at+1)
	}
}

// adoptOrphans assigns orphaned runs, which were reported before their job was known, to the tasks of that job. They are
// already being stopped.
func (p *Pool) adoptOrphans(j *job) {
	runs := p.orphans[j.id]
	delete(p.orphans, j.id)
	for _, r := range runs {
		t := p.task(time.Time{}, j, r.id)
		if r.state == runOver {
			continue
		}
		if t == nil {
			p.chargeTasklessRun(r, j)
			continue
		}
		p.dequeueTask(t)
		r.task = t
		t.runs = append(t.runs, r)
		t.step.active[r.worker]++
		r.need = t.step.need
		r.worker.used = r.worker.used.plus(r.need)
		j.account.add(r)
		if r.isBackfill() {
			r.worker.backfillRuns++
			r.worker.backfillCPUMilli += t.step.spec.GetCpuMilli()
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
