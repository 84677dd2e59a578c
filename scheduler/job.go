package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// job is an accepted job.
type job struct {
	id    string
	queue string
	// address is that of its location in the store; empty if it has none.
	address string
	// workspace is the workspace that the job belongs to; empty if none.
	workspace string
	account   *account
	// beyondWeight means that the workspace submitted the job beyond its weight.
	beyondWeight bool
	spec         *pb.JobSpec
	// terms are nil for a job whose record has none; see termsOf.
	terms    *terms
	accepted time.Time

	cancelled bool
	// state is RUNNING until the job has ended. Callers see the final state only once it is durable.
	state   pb.JobState
	reason  string
	endedAt time.Time
	// started means that a task has started. counted means that Pending includes the job.
	started bool
	counted bool

	// occurrences are the open ones; byNumber holds the same by number.
	occurrences []*occurrence
	byNumber    map[int]*occurrence
	// finishedCounts sums up the occurrences that are no longer kept. Its number of tasks covers all occurrences.
	finishedCounts taskCounts
	// finishedOccurrences holds the completed occurrences. nextOccurrence is the first one that has not been opened.
	finishedOccurrences numberSet
	nextOccurrence      int
	totalOccurrences    int

	rec recordState
	// awaitsTrialRecord means that a trial of a task waits until it is recorded.
	awaitsTrialRecord bool
	// work is the expected work of one occurrence in thousandths of a core times milliseconds. criticalPath is the
	// expected duration of its longest chain of steps.
	work         float64
	criticalPath time.Duration
	// failedOn holds the workers on which tasks failed. anySucceeded means that some task has succeeded.
	failedOn     map[string]bool
	anySucceeded bool
	// tried means that a run of the job has been cleared; see isTried.
	tried bool
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job       *job
	number    int
	due       time.Time
	steps     []*step
	stepsLeft int
}

// Add adds an accepted job.
func (p *Pool) Add(now time.Time, rec *pb.JobRecord) {
	if p.jobs[rec.GetId()] != nil || !p.forgotten[rec.GetId()].IsZero() {
		return
	}
	j := p.newJob(now, rec)
	p.jobs[j.id] = j
	p.markArrival(now, j)
	if p.takeEarlyCancel(j) {
		p.chargeOrphans(j)
		p.cancelJob(now, j)
	} else {
		p.activateJob(now, j)
	}
	p.applyHeldEnds(now, j)
}

// newJob returns the job of a record. It caps the time of acceptance at now, since the clock of the accepting host may
// be ahead.
func (p *Pool) newJob(now time.Time, rec *pb.JobRecord) *job {
	accepted := time.UnixMilli(rec.GetAcceptedMs())
	if accepted.After(now) {
		accepted = now
	}
	total := int(max(1, rec.GetSpec().GetRepeatCount()))
	return &job{
		id:               rec.GetId(),
		queue:            rec.GetQueue(),
		address:          rec.GetAddress(),
		workspace:        rec.GetWorkspace(),
		account:          p.accountOf(rec.GetWorkspace()),
		spec:             rec.GetSpec(),
		terms:            termsFrom(rec.GetTerms()),
		accepted:         accepted,
		state:            pb.JobState_JOB_STATE_RUNNING,
		byNumber:         map[int]*occurrence{},
		totalOccurrences: total,
		finishedCounts:   taskCounts{tasks: int64(total) * tasksPerOccurrence(rec.GetSpec())},
		failedOn:         map[string]bool{},
	}
}

// activateJob opens the due occurrences of a job that has not ended, and adopts its runs that were reported earlier.
func (p *Pool) activateJob(now time.Time, j *job) {
	if !j.started {
		j.counted = true
		p.pending[j.queue]++
	}
	if j.spec.GetRepeatCount() > 0 {
		p.repeating = append(p.repeating, j)
		p.openDueOccurrences(now, j)
	} else if len(j.occurrences) == 0 {
		p.openOccurrence(now, j, 0, j.accepted)
		j.nextOccurrence = 1
	}
	p.finishIfDone(now, j)
	p.adoptOrphans(j)
	p.placementDue = true
}

func (p *Pool) openOccurrence(now time.Time, j *job, number int, due time.Time) *occurrence {
	o := &occurrence{job: j, number: number, due: due, stepsLeft: len(j.spec.GetSteps())}
	for i, spec := range j.spec.GetSteps() {
		o.steps = append(o.steps, newStep(o, i, spec))
		p.hasBackfill = p.hasBackfill || spec.GetFills()
	}
	for _, s := range o.steps {
		for _, after := range s.spec.GetAfter() {
			if after >= 0 && after < int64(len(o.steps)) && int(after) != s.number {
				s.blockedBy++
				o.steps[after].followers = append(o.steps[after].followers, s)
			}
		}
	}
	j.occurrences = append(j.occurrences, o)
	j.byNumber[number] = o
	p.estimate(o)
	p.arrivals.add(now, j.work)
	for _, s := range o.steps {
		if s.blockedBy == 0 {
			p.openStep(now, s)
		}
	}
	if o.stepsLeft == 0 && !j.finishedOccurrences.has(number) {
		p.finishOccurrence(now, o)
	}
	return o
}

// hasUnrecordedEnd reports whether an end that no longer changes the job must still wait for the job's record: it is a
// success, and the latest progress is not durable yet.
func (j *job) hasUnrecordedEnd(end RunEnd) bool {
	return end == EndSucceeded && !j.cancelled && !j.rec.durable()
}

// isTerminal reports whether the job has ended, so that none of its tasks may start.
func (j *job) isTerminal() bool {
	return j.cancelled || j.state != pb.JobState_JOB_STATE_RUNNING
}

func (j *job) visibleState() pb.JobState {
	switch {
	case j.cancelled:
		return pb.JobState_JOB_STATE_CANCELLED
	case j.isTerminal() && j.rec.durable():
		return j.state
	case j.started:
		return pb.JobState_JOB_STATE_RUNNING
	default:
		return pb.JobState_JOB_STATE_QUEUED
	}
}

// markStarted records that a task of the job has started on a worker.
func (p *Pool) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	p.removeFromPending(j)
}

func (p *Pool) removeFromPending(j *job) {
	if !j.counted {
		return
	}
	j.counted = false
	p.pending[j.queue]--
	if p.pending[j.queue] == 0 {
		delete(p.pending, j.queue)
	}
}

func (p *Pool) cancelJob(now time.Time, j *job) {
	j.cancelled = true
	p.addJobDecision(now, DecisionCancelled, j, "")
	p.endJob(now, j, pb.JobState_JOB_STATE_CANCELLED, "cancelled")
}

// failJob fails a job. attempts is how many failed attempts were allowed if they are the reason, and otherwise 0.
func (p *Pool) failJob(now time.Time, j *job, reason string, attempts int) {
	p.addJobDecision(now, DecisionFailed, j, reason)
	p.out.Decisions[len(p.out.Decisions)-1].Attempts = attempts
	p.endJob(now, j, pb.JobState_JOB_STATE_FAILED, reason)
}

// endJob stops the remaining runs and records the final state.
func (p *Pool) endJob(now time.Time, j *job, state pb.JobState, reason string) {
	j.state = state
	j.reason = reason
	j.endedAt = now
	p.removeFromPending(j)
	p.markChanged(now, j)
	p.ended = append(p.ended, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.ready = nil
			for i := range s.tasks {
				p.stopTask(now, &s.tasks[i], reason)
			}
		}
	}
}

func (p *Pool) stopTask(now time.Time, t *task, reason string) {
	for _, r := range t.runs {
		p.stop(now, r, reason)
	}
}

// finishIfDone completes a job whose occurrences have all completed.
func (p *Pool) finishIfDone(now time.Time, j *job) {
	if j.isTerminal() || j.finishedOccurrences.count < j.totalOccurrences {
		return
	}
	p.addJobDecision(now, DecisionCompleted, j, "")
	p.endJob(now, j, pb.JobState_JOB_STATE_COMPLETED, "")
}

// finishOccurrence drops an occurrence and keeps only its counts and that it has completed.
func (p *Pool) finishOccurrence(now time.Time, o *occurrence) {
	j := o.job
	j.finishedOccurrences.add(o.number)
	delete(j.byNumber, o.number)
	j.finishedCounts.add(o)
	if at := slices.Index(j.occurrences, o); at >= 0 {
		j.occurrences = slices.Delete(j.occurrences, at, at+1)
	}
	p.finishIfDone(now, j)
}

// task returns a task of the job and opens its occurrence if needed. It returns nil if the task does not exist or its
// occurrence has completed.
func (p *Pool) task(now time.Time, j *job, id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= j.totalOccurrences || j.finishedOccurrences.has(id.Occurrence) {
		return nil
	}
	o := j.occurrence(id.Occurrence)
	if o == nil {
		o = p.openOccurrence(now, j, id.Occurrence, j.dueAt(id.Occurrence))
	}
	if id.Step < 0 || id.Step >= len(o.steps) {
		return nil
	}
	s := o.steps[id.Step]
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}
