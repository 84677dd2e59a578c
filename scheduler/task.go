package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// defaultAttempts applies to jobs whose queue has never been seen.
	defaultAttempts = 3
	// persistentBackoff is the first pause of a persistent task after a failure; it doubles up to eightfold.
	persistentBackoff = 100 * time.Millisecond
	maxBackoffSteps   = 3
	// soundRun is how long a persistent run has to last for its failure to count as the first.
	soundRun = 5 * time.Second
	// maxFailedOn bounds the workers that a task avoids.
	maxFailedOn = 4
)

// step is a group of equal tasks of one occurrence.
type step struct {
	occ    *occurrence
	number int
	spec   *pb.JobStep
	// need is what one task counts against the capacity of a worker.
	need  Resources
	tasks []task
	done  int
	// blocked counts the steps to be done before; opened means that there are none left.
	blocked   int
	opened    bool
	finished  bool
	followers []*step
	// ready holds the tasks that wait for a worker; listed means that the step is in the pool's open list.
	ready      []int
	readySince time.Time
	listed     bool
	// active counts runs of the step by worker.
	active map[*worker]int
	// expected is the learned duration of a task, chain the time from its start to the end of the occurrence.
	expected time.Duration
	chain    time.Duration
	quickest quickest
	advice   *stepAdvice
	// rack is where a step that wants one rack runs.
	rack string
}

// task is one of the equal tasks of a step.
type task struct {
	step          *step
	index         int
	runs          []*run
	done          bool
	checkpoint    string
	checkpointRun int64
	failures      int
	// failedRuns are the runs counted in failures: a later owner may hear of them again, in another order.
	failedRuns []int64
	failedOn   []string
	notBefore  time.Time
	refusals   int
	// stalls counts runs that were stopped for want of progress.
	stalls int
	// preempted counts runs that gave way to another queue.
	preempted int
}

func newStep(o *occurrence, number int, spec *pb.JobStep) *step {
	s := &step{occ: o, number: number, spec: spec, active: map[*worker]int{}}
	s.need = Resources{CPUMilli: spec.GetCpuMilli(), MemoryMB: spec.GetMemoryMb(), GPU: spec.GetGpu()}
	if spec.GetFills() {
		s.need.CPUMilli = 0
	}
	s.tasks = make([]task, max(0, spec.GetCount()))
	for i := range s.tasks {
		s.tasks[i].step = s
		s.tasks[i].index = i
	}
	return s
}

func (t *task) job() *job { return t.step.occ.job }

func (t *task) id() TaskID {
	o := t.step.occ
	return TaskID{Job: o.job.id, Occurrence: o.number, Step: t.step.number, Index: t.index}
}

// openStep lets the tasks of a step wait for workers. Steps without tasks are done at once.
func (p *Pool) openStep(now time.Time, s *step) {
	if s.opened {
		return
	}
	s.opened = true
	s.readySince = now
	for i := range s.tasks {
		p.queueTask(now, &s.tasks[i])
	}
	if s.done == len(s.tasks) {
		p.finishStep(now, s)
	}
}

// queueTask lets a task wait for a worker if it has to run.
func (p *Pool) queueTask(now time.Time, t *task) {
	s := t.step
	if t.done || len(t.runs) > 0 || s.blocked > 0 || s.occ.job.over() || slices.Contains(s.ready, t.index) {
		return
	}
	if len(s.ready) == 0 {
		s.readySince = now
	}
	at, _ := slices.BinarySearch(s.ready, t.index)
	s.ready = slices.Insert(s.ready, at, t.index)
	if !s.listed {
		s.listed = true
		p.open = append(p.open, s)
	}
	p.place = true
}

// settle takes the end of a run into its task. It returns whether the end has to be recorded.
func (p *Pool) settle(now time.Time, t *task, r *run, end RunEnd, checkpoint string) bool {
	j := t.job()
	p.decide(DecisionEnded, r, end.String())
	if j.over() || t.done {
		return j.endUnrecorded(end)
	}
	if checkpoint != "" {
		t.takeCheckpoint(r.number, checkpoint)
	}
	if t.step.spec.GetGang() {
		return p.settleGang(now, t, r, end)
	}
	recorded := false
	switch {
	case t.step.spec.GetPersistent():
		t.backOff(now, r, end)
	case end == EndSucceeded:
		p.succeed(now, t)
		recorded = true
	case end == EndFailed:
		recorded = p.fail(now, t, r)
	default:
		recorded = checkpoint != ""
	}
	if recorded {
		p.changed(now, j)
	}
	p.queueTask(now, t)
	return recorded
}

// backOff delays the restart of a persistent task that failed.
func (t *task) backOff(now time.Time, r *run, end RunEnd) {
	if end != EndFailed || now.Sub(r.orderedAt) > soundRun {
		t.failures = 0
		return
	}
	t.notBefore = now.Add(persistentBackoff << min(t.failures, maxBackoffSteps))
	t.failures++
}

func (t *task) takeCheckpoint(number int64, checkpoint string) {
	first := t
	if t.step.spec.GetGang() {
		first = &t.step.tasks[0]
	}
	if number >= first.checkpointRun {
		first.checkpoint = checkpoint
		first.checkpointRun = number
	}
}

// succeed marks a task as done, stops its copies and opens what waited for its step.
func (p *Pool) succeed(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	t.job().anyDone = true
	s := t.step
	if at := slices.Index(s.ready, t.index); at >= 0 {
		s.ready = slices.Delete(s.ready, at, at+1)
	}
	p.stopTask(now, t, "done elsewhere")
	s.done++
	if s.done == len(s.tasks) {
		p.decideStepDone(now, s)
		p.finishStep(now, s)
	}
}

// finishStep opens what waited for the step. After a takeover a step may be heard to be done before those it follows.
func (p *Pool) finishStep(now time.Time, s *step) {
	if s.finished {
		return
	}
	s.finished = true
	o := s.occ
	o.left--
	for _, f := range s.followers {
		f.blocked--
		if f.blocked == 0 {
			p.openStep(now, f)
		}
	}
	if o.left == 0 {
		p.changed(now, o.job)
		p.finishOccurrence(now, o)
	}
}

// fail counts a failed run once, and fails the job after the last attempt.
func (p *Pool) fail(now time.Time, t *task, r *run) bool {
	if slices.Contains(t.failedRuns, r.number) {
		return false
	}
	t.failedRuns = append(t.failedRuns, r.number)
	t.failures++
	if r.worker != nil && len(t.failedOn) < maxFailedOn {
		t.failedOn = append(t.failedOn, r.worker.ID)
	}
	p.decideAttempt(r, t.failures, p.maxAttempts(t.job()))
	if t.failures >= p.maxAttempts(t.job()) {
		p.failJob(now, t.job(), "too many failed attempts")
	}
	return true
}

func (p *Pool) maxAttempts(j *job) int {
	if q, ok := p.queues[j.queue]; ok && q.MaxAttempts > 0 {
		return q.MaxAttempts
	}
	return defaultAttempts
}
