package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// defaultAttempts applies to jobs whose terms set no limit.
	defaultAttempts = 3
	// basePersistentBackoff is the delay before a persistent task restarts after its first failure. It doubles with
	// each failure, up to eight times the base.
	basePersistentBackoff = 100 * time.Millisecond
	maxBackoffSteps       = 3
	// stableRunAge is how long a persistent run must last for its failure to reset the backoff.
	stableRunAge = 5 * time.Second
	// maxFailedOn bounds the workers that a task avoids.
	maxFailedOn = 4
)

// step is a group of identical tasks of one occurrence.
type step struct {
	occ    *occurrence
	number int
	spec   *pb.JobStep
	// need is the capacity that one task takes on a worker. A backfill task takes no CPU.
	need  Resources
	tasks []task
	// doneTasks counts the tasks that have succeeded.
	doneTasks int
	// blockedBy counts the unfinished steps that this step depends on. opened means that there are none left.
	blockedBy int
	opened    bool
	finished  bool
	followers []*step
	// ready holds the indexes of the tasks that wait for a worker. inWaitingSteps means that the step is in the
	// pool's waitingSteps.
	ready          []int // sorted
	readySince     time.Time
	inWaitingSteps bool
	// heldSince is since when the step has been waiting only for its workspace's limit; zero if it does not. admittedAt is
	// when it last ceased to.
	heldSince, admittedAt time.Time
	// active counts the runs of the step by worker.
	active map[*worker]int
	// expected is the expected duration of a task. criticalPath is the expected time from its start to the end of the
	// occurrence.
	expected     time.Duration
	criticalPath time.Duration
	fastest      fastestRuns
	advice       *stepAdvice
	// brokenAttempt is the latest attempt of a gang that ended alone or broken, brokenAttempts the number of those in a row.
	// The gang does not start before notBefore.
	brokenAttempt  int64
	brokenAttempts int
	notBefore      time.Time
	// rack is where a step runs that must run on one rack.
	rack string
}

// task is one of the identical tasks of a step.
type task struct {
	step          *step
	index         int
	runs          []*run
	done          bool
	checkpoint    string
	checkpointRun int64
	// failures counts the failed runs, of a persistent task only those in a row that ended early.
	failures int
	// failedRuns holds the numbers of the runs counted in failures, since a later owner may receive the same failures
	// again in another order.
	failedRuns []int64
	failedOn   []string
	notBefore  time.Time
	// lostAt is when a run was last lost with its incarnation.
	lostAt time.Time
	// waitingSince is when the task last began to wait for a worker.
	waitingSince time.Time
	refusals     int
	// stalls counts the runs that were stopped for lack of progress or moved off a slow worker.
	stalls int
	// moves counts the runs that were stopped because their worker was evacuated.
	moves int
	// preempted counts the runs that were preempted for another queue.
	preempted int
	crashes   crashHistory
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

// openStep makes the tasks of a step wait for workers. A step without tasks is finished at once.
func (p *Pool) openStep(now time.Time, s *step) {
	if s.opened {
		return
	}
	s.opened = true
	s.readySince = now
	for i := range s.tasks {
		p.enqueueTask(now, &s.tasks[i])
	}
	if s.doneTasks == len(s.tasks) {
		p.finishStep(now, s)
	}
}

// enqueueTask makes a task wait for a worker if it has to run.
func (p *Pool) enqueueTask(now time.Time, t *task) {
	s := t.step
	if t.done || t.crashes.givenUp || len(t.runs) > 0 || s.blockedBy > 0 || s.occ.job.isTerminal() {
		return
	}
	at, waits := slices.BinarySearch(s.ready, t.index)
	if waits {
		return
	}
	if len(s.ready) == 0 {
		s.readySince = now
		s.heldSince = time.Time{}
	}
	s.ready = slices.Insert(s.ready, at, t.index)
	t.waitingSince = now
	if !s.inWaitingSteps {
		s.inWaitingSteps = true
		p.waitingSteps = append(p.waitingSteps, s)
	}
	p.placementDue = true
}

// applyRunEnd applies the end of a run to its task. It returns whether the end must be recorded.
func (p *Pool) applyRunEnd(now time.Time, t *task, r *run, end RunEnd, checkpoint string) bool {
	j := t.job()
	p.addDecision(DecisionEnded, r, end.String())
	if j.isTerminal() || t.done {
		return j.hasUnrecordedEnd(end)
	}
	if checkpoint != "" {
		t.setCheckpoint(r.number, checkpoint)
	}
	if t.step.spec.GetGang() {
		return p.applyGangRunEnd(now, t, r, end, checkpoint)
	}
	recorded := false
	switch {
	case t.step.spec.GetPersistent():
		t.backOff(now, r, end)
	case end == EndSucceeded:
		p.addStartedAgain(r)
		p.completeTask(now, t)
		recorded = true
	case end == EndFailed:
		recorded = p.recordFailedAttempt(now, t, r)
	default:
		recorded = checkpoint != ""
	}
	if recorded {
		p.markChanged(now, j)
	}
	p.enqueueTask(now, t)
	return recorded
}

// backOff delays the restart of a persistent task that failed.
func (t *task) backOff(now time.Time, r *run, end RunEnd) {
	if end != EndFailed || now.Sub(r.orderedAt) > stableRunAge {
		t.failures = 0
		return
	}
	t.notBefore = now.Add(basePersistentBackoff << min(t.failures, maxBackoffSteps))
	t.failures++
}

// setCheckpoint keeps the checkpoint of the latest run. The members of a gang share that of task 0.
func (t *task) setCheckpoint(number int64, checkpoint string) {
	target := t
	if t.step.spec.GetGang() {
		target = &t.step.tasks[0]
	}
	if number >= target.checkpointRun {
		target.checkpoint = checkpoint
		target.checkpointRun = number
	}
}

// completeTask marks a task as done and stops its other runs. The last task of a step finishes the step.
func (p *Pool) completeTask(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	t.job().anySucceeded = true
	s := t.step
	if !p.restoring { // the tasks of a record are dequeued together
		p.dequeueTask(t)
	}
	p.stopTask(now, t, "task has succeeded")
	s.doneTasks++
	if s.doneTasks == len(s.tasks) {
		p.addStepDone(now, s)
		p.finishStep(now, s)
	}
}

// finishStep opens the steps that depended on this one. After a takeover, a step may be reported as done before the
// steps that it depends on, so it may be called again when the step opens.
func (p *Pool) finishStep(now time.Time, s *step) {
	if s.finished {
		return
	}
	s.finished = true
	o := s.occ
	o.stepsLeft--
	for _, f := range s.followers {
		f.blockedBy--
		if f.blockedBy == 0 {
			p.openStep(now, f)
		}
	}
	if o.stepsLeft == 0 {
		p.markChanged(now, o.job)
		p.finishOccurrence(now, o)
	}
}

// recordFailedAttempt counts a failed run once and fails the job after the last attempt.
func (p *Pool) recordFailedAttempt(now time.Time, t *task, r *run) bool {
	if slices.Contains(t.failedRuns, r.number) {
		return false
	}
	t.failedRuns = append(t.failedRuns, r.number)
	t.failures++
	if r.worker != nil && len(t.failedOn) < maxFailedOn {
		t.failedOn = append(t.failedOn, r.worker.ID)
	}
	p.addFailedAttempt(r, t.failures, p.maxAttempts(t.job()))
	if t.failures >= p.maxAttempts(t.job()) {
		p.failJob(now, t.job(), "too many failed attempts", p.maxAttempts(t.job()))
	}
	return true
}
