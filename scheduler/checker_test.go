package scheduler_test

import (
	"fmt"
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// checker checks only what workers did and what callers were shown, not the internal state of the pool.
type checker struct {
	sim              *sim
	violations       []string
	running          map[scheduler.TaskID][]*simWorker
	starts           map[scheduler.TaskID][]int64
	done             map[scheduler.TaskID]bool
	failures         map[scheduler.TaskID]int
	ackedEnds        []ackedEnd
	stoppedByOwner   map[scheduler.TaskID]bool
	unavailableSince map[scheduler.TaskID]int64
	// crashedUnder counts the workers that crashed while they ran a task. startsAfterCrashes counts the starts of a
	// crashing task after simCrashes of them.
	crashedUnder, startsAfterCrashes map[scheduler.TaskID]int
	// givenUp holds the tasks that an owner has given up.
	givenUp map[scheduler.TaskID]bool
	limits  limitChecker
	// lastCrash is when a worker last crashed.
	lastCrash int64
}

const (
	// simCrashes workers may crash under a task before its further starts are counted, up to simStartsAfterCrashes.
	simCrashes            = 3
	simStartsAfterCrashes = 3
	// simGiveUpCrashes workers must have crashed under a task before it is given up.
	simGiveUpCrashes = 2
)

// ackedEnd is an ended run that a hold has acknowledged.
type ackedEnd struct {
	task scheduler.TaskID
	end  scheduler.RunEnd
	at   int64
}

func newChecker(s *sim) *checker {
	return &checker{
		sim: s, running: map[scheduler.TaskID][]*simWorker{}, starts: map[scheduler.TaskID][]int64{},
		done: map[scheduler.TaskID]bool{}, failures: map[scheduler.TaskID]int{}, stoppedByOwner: map[scheduler.TaskID]bool{}, unavailableSince: map[scheduler.TaskID]int64{},
		crashedUnder: map[scheduler.TaskID]int{}, startsAfterCrashes: map[scheduler.TaskID]int{},
		givenUp: map[scheduler.TaskID]bool{}, limits: limitChecker{ordered: map[int64]scheduler.Resources{}},
	}
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%d: ", c.sim.now)+fmt.Sprintf(format, args...))
}

func (c *checker) checkStart(w *simWorker, r *simRun, o scheduler.Order) {
	c.sim.trace("begins %v %d on %s", r.task, r.run, w.id)
	j := c.sim.jobs[r.task.Job]
	if len(c.running[r.task]) > 0 && !r.step.GetSpeculative() {
		c.addViolation("two runs at once of %v: on %s and %s", r.task, c.running[r.task][0].id, w.id)
	}
	c.running[r.task] = append(c.running[r.task], w)
	c.starts[r.task] = append(c.starts[r.task], c.sim.now)
	if due := j.due(r.task.Occurrence); c.sim.now < due-simConfig.Early.Milliseconds() {
		c.addViolation("%v started early", r.task)
	}
	if o.Payload != j.rec.GetSpec().GetPayload() {
		c.addViolation("wrong payload for %v", r.task)
	}
	prefix := fmt.Sprintf("%s.%d.%d.%d@", r.task.Job, r.task.Occurrence, r.task.Step, checkpointIndex(r))
	if o.Checkpoint != "" && !strings.HasPrefix(o.Checkpoint, prefix) {
		c.addViolation("checkpoint %q does not belong to %v", o.Checkpoint, r.task)
	}
	c.checkCapacity(w, r)
	c.checkLimits(r)
	c.checkDependencies(j, r)
	if j.crashing[r.task] && c.crashedUnder[r.task] >= simCrashes {
		c.startsAfterCrashes[r.task]++
		if c.startsAfterCrashes[r.task] >= simStartsAfterCrashes {
			c.addViolation("%v started after %d workers crashed under it", r.task, c.crashedUnder[r.task])
		}
	}
}

// checkCapacity checks the capacity of the worker and the limit of tasks per host.
func (c *checker) checkCapacity(w *simWorker, r *simRun) {
	used := needOf(r.step)
	tasksOfStep := int64(1)
	for _, x := range w.running {
		n := needOf(x.step)
		used = scheduler.Resources{CPUMilli: used.CPUMilli + n.CPUMilli, MemoryMB: used.MemoryMB + n.MemoryMB, GPU: used.GPU + n.GPU}
		if x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.task.Occurrence == r.task.Occurrence {
			tasksOfStep++
		}
	}
	if !w.mayHold(used) {
		c.addViolation("over capacity on %s: %+v of %+v", w.id, used, w.capacity)
	}
	if limit := r.step.GetMaxPerHost(); limit > 0 && tasksOfStep > limit {
		c.addViolation("too many tasks of the step on %s: %v", w.id, r.task)
	}
}

// checkDependencies checks that the preceding steps are done.
func (c *checker) checkDependencies(j *simJob, r *simRun) {
	for _, a := range r.step.GetAfter() {
		for i := range j.rec.GetSpec().GetSteps()[a].GetCount() {
			before := scheduler.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: int(a), Index: int(i)}
			if !c.succeeded(before) {
				c.addViolation("%v started before %v was done", r.task, before)
			}
		}
	}
}

// checkStop checks that a stop of an available persistent task stays within the disruption budget of its step. It
// ignores late stops, draining workers and cancelled jobs.
func (c *checker) checkStop(w *simWorker, o scheduler.Order, delayMs int64) {
	const maxPromptDelayMs = 50
	for _, r := range w.running {
		if r.task != o.Task || r.run != o.Run || r.stopping || !r.step.GetPersistent() || !r.isAvailable() {
			continue
		}
		if w.draining || delayMs > maxPromptDelayMs || c.sim.jobs[r.task.Job].cancelledAt > 0 {
			continue
		}
		c.stoppedByOwner[r.task] = true
		unavailable := int64(0)
		for i := range r.step.GetCount() {
			other := r.task
			other.Index = int(i)
			if other != r.task && !c.mayBeMissing(other) && c.isUnavailable(other) {
				unavailable++
			}
		}
		if unavailable >= r.step.GetMayMiss() {
			c.addViolation("stop of %v while %d other tasks are unavailable", r.task, unavailable)
		}
	}
}

// isUnavailable reports whether a task was stopped and is not available again, or has been unavailable for longer
// than the notice.
func (c *checker) isUnavailable(id scheduler.TaskID) bool {
	for _, w := range c.running[id] {
		for _, r := range w.running {
			if r.task == id && r.isAvailable() {
				return false
			}
		}
	}
	since := max(c.unavailableSince[id], c.sim.jobs[id.Job].rec.GetAcceptedMs()-simEpoch)
	return c.stoppedByOwner[id] || c.sim.now-since > simConfig.Notice.Milliseconds()
}

func (r *simRun) isAvailable() bool { return !r.stopping && r.sim.now-r.startedAt >= simStartup }

func (c *checker) succeeded(id scheduler.TaskID) bool {
	step := c.sim.jobs[id.Job].rec.GetSpec().GetSteps()[id.Step]
	if !step.GetGang() {
		return c.done[id]
	}
	for i := range step.GetCount() {
		id.Index = int(i)
		if c.done[id] {
			return true
		}
	}
	return false
}

func (c *checker) runOver(w *simWorker, r *simRun) {
	list := c.running[r.task]
	if r.isAvailable() {
		c.unavailableSince[r.task] = c.sim.now
		c.stoppedByOwner[r.task] = r.stopping
	} else if r.stopping {
		c.unavailableSince[r.task] = c.sim.now
	}
	for i, x := range list {
		if x == w {
			c.running[r.task] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (c *checker) runEnded(w *simWorker, r *simRun, how scheduler.RunEnd) {
	c.sim.trace("ends %v %d on %s %d", r.task, r.run, w.id, how)
	if c.sim.load != nil {
		c.sim.load.runEnded(c.sim.now, r, how)
	}
	switch how {
	case scheduler.EndSucceeded:
		c.done[r.task] = true
	case scheduler.EndFailed:
		c.failures[r.task]++
	case scheduler.EndAlone:
		// A member whose worker has crashed leaves the others alone.
		if c.sim.faultsSettled() && c.lastCrash < r.startedAt {
			c.addViolation("%v waited in vain for its gang on %s", r.task, w.id)
		}
	default:
	}
}

func (c *checker) endAcked(w *simWorker, e scheduler.EndedRun) {
	if e.Number <= w.lastEndBeforeLapse {
		return
	}
	c.ackedEnds = append(c.ackedEnds, ackedEnd{e.Task, e.End, w.endedAt[e.Number]})
}

// checkOrder checks an order at the moment the owner issues it.
func (c *checker) checkOrder(o scheduler.Order) {
	if o.Kind != scheduler.OrderStart {
		return
	}
	c.limits.addOrder(c.sim, o)
	if j := c.sim.jobs[o.Task.Job]; j.cancelledAt > 0 && c.sim.now > j.cancelledAt+100 {
		c.addViolation("%v ordered after its job was cancelled", o.Task)
	}
	if w := c.sim.byID[o.Worker]; w.draining && c.sim.now > c.sim.drainListedAt[w.id] {
		c.addViolation("%v ordered on draining %s", o.Task, o.Worker)
	}
}

// checkState checks a job state as shown to a caller.
func (c *checker) checkState(j *simJob, state pb.JobState) {
	switch state {
	case pb.JobState_JOB_STATE_COMPLETED:
		j.eachTask(func(id scheduler.TaskID, _ *pb.JobStep) {
			if !c.succeeded(id) {
				c.addViolation("%s shown as completed without %v", j.id, id)
			}
		})
	case pb.JobState_JOB_STATE_FAILED:
		if !c.attemptsExhausted(j) && !c.mayBeGivenUp(j) {
			c.addViolation("%s shown as failed without cause", j.id)
		}
	case pb.JobState_JOB_STATE_CANCELLED:
		if j.cancelledAt == 0 {
			c.addViolation("%s shown as cancelled without cause", j.id)
		}
	default:
	}
	if j.lastShown != state && (j.lastShown == pb.JobState_JOB_STATE_COMPLETED || j.lastShown == pb.JobState_JOB_STATE_FAILED) {
		c.addViolation("%s went from %v to %v", j.id, j.lastShown, state)
	}
	if j.lastShown != state {
		j.shownAt = c.sim.now
	}
	j.lastShown = state
}

func (c *checker) attemptsExhausted(j *simJob) bool {
	exhausted := false
	sums := map[scheduler.TaskID]int{}
	j.eachTask(func(id scheduler.TaskID, step *pb.JobStep) {
		key := id
		if step.GetGang() {
			key.Index = 0
		}
		sums[key] += c.failures[id]
		exhausted = exhausted || sums[key] >= simAttempts
	})
	return exhausted
}

// mayBeMissing reports whether the task was given up and enough workers have crashed under it.
func (c *checker) mayBeMissing(id scheduler.TaskID) bool {
	return c.givenUp[id] && c.crashedUnder[id] >= simGiveUpCrashes
}

// mayBeGivenUp reports whether enough workers have crashed under a task of the job.
func (c *checker) mayBeGivenUp(j *simJob) bool {
	given := false
	j.eachTask(func(id scheduler.TaskID, _ *pb.JobStep) {
		given = given || c.crashedUnder[id] >= simGiveUpCrashes
	})
	return given
}

// checkFinal checks the whole run: acknowledged ends against starts, and what is still open.
func (c *checker) checkFinal() {
	failed := map[scheduler.TaskID][]int64{}
	for _, n := range c.ackedEnds {
		step := c.sim.jobs[n.task.Job].rec.GetSpec().GetSteps()[n.task.Step]
		if step.GetPersistent() {
			continue
		}
		if n.end == scheduler.EndFailed {
			failed[n.task] = append(failed[n.task], n.at)
		}
		for _, at := range c.starts[n.task] {
			if n.end == scheduler.EndSucceeded && at > n.at && !step.GetSpeculative() {
				c.addViolation("%v began at %d after it had succeeded at %d", n.task, at, n.at)
			}
		}
	}
	c.checkAttempts(failed)
	for _, id := range c.sim.jobIDs {
		c.checkFinalJob(c.sim.jobs[id])
	}
	for _, w := range c.sim.workers {
		if w.up && len(w.ended) > 0 {
			c.addViolation("%d ends of %s were never acknowledged, first %+v", len(w.ended), w.id, w.ended[0])
		}
	}
}

// checkAttempts checks that nothing started after the last attempt had failed.
func (c *checker) checkAttempts(failed map[scheduler.TaskID][]int64) {
	for id, ends := range failed {
		for _, at := range c.starts[id] {
			before := 0
			for _, e := range ends {
				if e < at {
					before++
				}
			}
			if before >= simAttempts {
				c.addViolation("%v began at %d after %d failures", id, at, before)
			}
		}
	}
}

func (c *checker) checkFinalJob(j *simJob) {
	state := c.sim.owner.pool.State(j.id)
	if j.cancelledAt > 0 && state != pb.JobState_JOB_STATE_COMPLETED && state != pb.JobState_JOB_STATE_FAILED {
		j.eachTask(func(id scheduler.TaskID, _ *pb.JobStep) {
			if len(c.running[id]) > 0 {
				c.addViolation("%v of a cancelled job still runs", id)
			}
		})
		return
	}
	if j.persistent() {
		j.eachTask(func(id scheduler.TaskID, _ *pb.JobStep) {
			if len(c.running[id]) != 1 && !c.mayBeMissing(id) {
				c.addViolation("%d runs of persistent %v at the end", len(c.running[id]), id)
			}
		})
		return
	}
	if state != pb.JobState_JOB_STATE_COMPLETED && state != pb.JobState_JOB_STATE_FAILED {
		c.addViolation("%s has not ended, state %v: %s", j.id, state, strings.Join(c.sim.owner.pool.Explain(j.id), "; "))
	}
}

func needOf(s *pb.JobStep) scheduler.Resources {
	n := scheduler.Resources{CPUMilli: s.GetCpuMilli(), MemoryMB: s.GetMemoryMb(), GPU: s.GetGpu()}
	if s.GetFills() {
		n.CPUMilli = 0
	}
	return n
}
