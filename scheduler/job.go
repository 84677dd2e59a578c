package scheduler

import (
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// job is an accepted job.
type job struct {
	id       string
	queue    string
	spec     *pb.JobSpec
	accepted time.Time

	cancelled bool
	// state is RUNNING until the job has ended; the end is shown once it is durable.
	state   pb.JobState
	reason  string
	endedAt time.Time
	// started means that a task has started, counted means that Pending counts the job.
	started bool
	counted bool

	occurrences []*occurrence
	// past sums up the occurrences that are not kept; its tasks are those of all occurrences.
	past taskCounts
	// finished holds the occurrences that have completed; next is the first that has not been opened.
	finished map[int]bool
	next     int
	total    int

	rec recordState
	// work is the expected work in thousandths of a core times milliseconds, chain the expected longest chain.
	work  float64
	chain time.Duration
	// failedOn counts workers on which tasks failed, succeeded tells whether a task ever succeeded.
	failedOn map[string]bool
	anyDone  bool
}

// occurrence is one pass through the steps.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	left   int
}

// Add takes an accepted job.
func (p *Pool) Add(now time.Time, rec *pb.JobRecord) {
	if p.jobs[rec.GetId()] != nil || !p.forgotten[rec.GetId()].IsZero() {
		return
	}
	j := p.newJob(now, rec)
	p.jobs[j.id] = j
	if _, early := p.earlyCancels[j.id]; early {
		delete(p.earlyCancels, j.id)
		p.cancelJob(now, j)
		return
	}
	p.begin(now, j)
}

// newJob takes no acceptance after now: the clock of the host that accepted the job was ahead.
func (p *Pool) newJob(now time.Time, rec *pb.JobRecord) *job {
	accepted := time.UnixMilli(rec.GetAcceptedMs())
	if accepted.After(now) {
		accepted = now
	}
	total := int(max(1, rec.GetSpec().GetRepeatCount()))
	return &job{
		id:       rec.GetId(),
		queue:    rec.GetQueue(),
		spec:     rec.GetSpec(),
		accepted: accepted,
		state:    pb.JobState_JOB_STATE_RUNNING,
		finished: map[int]bool{},
		total:    total,
		past:     taskCounts{tasks: int64(total) * tasksOf(rec.GetSpec())},
		failedOn: map[string]bool{},
	}
}

// begin opens what is due of a job that has not ended.
func (p *Pool) begin(now time.Time, j *job) {
	if !j.started {
		j.counted = true
		p.pending[j.queue]++
	}
	if j.spec.GetRepeatCount() > 0 {
		p.repeating = append(p.repeating, j)
		p.openDue(now, j)
	} else if len(j.occurrences) == 0 {
		p.openOccurrence(now, j, 0, j.accepted)
		j.next = 1
	}
	p.finishIfDone(now, j)
	p.adoptOrphans(j)
	p.place = true
}

// openOccurrences opens the occurrences whose time has come.
func (p *Pool) openOccurrences(now time.Time) {
	kept := p.repeating[:0]
	for _, j := range p.repeating {
		if j.over() || j.next >= j.total {
			continue
		}
		p.openDue(now, j)
		if j.next < j.total {
			kept = append(kept, j)
		}
	}
	p.repeating = kept
}

func (p *Pool) openDue(now time.Time, j *job) {
	for j.next < j.total {
		due := j.dueAt(j.next)
		opens := due.Add(-p.cfg.Early / 2)
		if now.Before(opens) {
			p.wake(opens)
			return
		}
		if !j.finished[j.next] && j.occurrence(j.next) == nil {
			p.openOccurrence(now, j, j.next, due)
		}
		j.next++
	}
}

func (j *job) dueAt(number int) time.Time {
	return time.UnixMilli(j.spec.GetStartAtMs() + int64(number)*j.spec.GetIntervalMs())
}

func (j *job) occurrence(number int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == number {
			return o
		}
	}
	return nil
}

func (p *Pool) openOccurrence(now time.Time, j *job, number int, due time.Time) *occurrence {
	o := &occurrence{job: j, number: number, due: due, left: len(j.spec.GetSteps())}
	for i, spec := range j.spec.GetSteps() {
		o.steps = append(o.steps, newStep(o, i, spec))
		p.fills = p.fills || spec.GetFills()
	}
	for _, s := range o.steps {
		for _, after := range s.spec.GetAfter() {
			if after >= 0 && after < int64(len(o.steps)) && int(after) != s.number {
				s.blocked++
				o.steps[after].followers = append(o.steps[after].followers, s)
			}
		}
	}
	j.occurrences = append(j.occurrences, o)
	p.estimate(o)
	p.arrivals.add(now, j.work)
	for _, s := range o.steps {
		if s.blocked == 0 {
			p.openStep(now, s)
		}
	}
	if o.left == 0 && !j.finished[number] {
		p.finishOccurrence(now, o)
	}
	return o
}

// endUnrecorded tells whether an end with success, of a task that is done, is not durable yet.
func (j *job) endUnrecorded(end RunEnd) bool {
	return end == EndSucceeded && !j.cancelled && !j.rec.durable()
}

// over tells whether nothing of the job may start any more.
func (j *job) over() bool {
	return j.cancelled || j.state != pb.JobState_JOB_STATE_RUNNING
}

func (j *job) visibleState() pb.JobState {
	switch {
	case j.cancelled:
		return pb.JobState_JOB_STATE_CANCELLED
	case j.over() && j.rec.durable():
		return j.state
	case j.started:
		return pb.JobState_JOB_STATE_RUNNING
	default:
		return pb.JobState_JOB_STATE_QUEUED
	}
}

// markStarted takes note that a task of the job has begun on a worker.
func (p *Pool) markStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	p.uncount(j)
}

func (p *Pool) uncount(j *job) {
	if !j.counted {
		return
	}
	j.counted = false
	p.pending[j.queue]--
	if p.pending[j.queue] == 0 {
		delete(p.pending, j.queue)
	}
}

// Cancel ends a job by its caller's wish. It may come before Add.
func (p *Pool) Cancel(now time.Time, id string) {
	j := p.jobs[id]
	if j == nil {
		if p.forgotten[id].IsZero() {
			p.earlyCancels[id] = now
		}
		return
	}
	if j.over() {
		return
	}
	p.cancelJob(now, j)
}

func (p *Pool) cancelJob(now time.Time, j *job) {
	j.cancelled = true
	p.decideJob(now, DecisionCancelled, j, "")
	p.endJob(now, j, pb.JobState_JOB_STATE_CANCELLED, "cancelled")
}

func (p *Pool) failJob(now time.Time, j *job, reason string) {
	p.decideJob(now, DecisionFailed, j, reason)
	p.endJob(now, j, pb.JobState_JOB_STATE_FAILED, reason)
}

// endJob stops what still runs and records the end.
func (p *Pool) endJob(now time.Time, j *job, state pb.JobState, reason string) {
	j.state = state
	j.reason = reason
	j.endedAt = now
	p.uncount(j)
	p.changed(now, j)
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

// stopTask stops all runs of a task.
func (p *Pool) stopTask(now time.Time, t *task, reason string) {
	for _, r := range t.runs {
		p.stop(now, r, reason)
	}
}

// finishIfDone completes a job whose occurrences have all completed.
func (p *Pool) finishIfDone(now time.Time, j *job) {
	if j.over() || len(j.finished) < j.total {
		return
	}
	p.decideJob(now, DecisionCompleted, j, "")
	p.endJob(now, j, pb.JobState_JOB_STATE_COMPLETED, "")
}

// finishOccurrence keeps only that the occurrence has completed.
func (p *Pool) finishOccurrence(now time.Time, o *occurrence) {
	j := o.job
	j.finished[o.number] = true
	j.past.add(o)
	kept := j.occurrences[:0]
	for _, x := range j.occurrences {
		if x != o {
			kept = append(kept, x)
		}
	}
	j.occurrences = kept
	p.finishIfDone(now, j)
}

// task finds a task of the job, opening its occurrence if need be. It is nil if the task does not exist or is done.
func (p *Pool) task(now time.Time, j *job, id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= j.total || j.finished[id.Occurrence] {
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
