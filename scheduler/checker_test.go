package scheduler_test

import (
	"fmt"
	"strings"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/scheduler"
)

// checker judges only what workers did and what callers were told, not what the pool believes.
type checker struct {
	sim      *sim
	faults   []string
	running  map[scheduler.TaskID][]*simWorker
	begins   map[scheduler.TaskID][]int64
	done     map[scheduler.TaskID]bool
	failures map[scheduler.TaskID]int
	notes    []note
	moved    map[scheduler.TaskID]bool
	lastOver map[scheduler.TaskID]int64
}

// note is an end that a hold acknowledged.
type note struct {
	task scheduler.TaskID
	end  scheduler.RunEnd
	at   int64
}

func newChecker(s *sim) *checker {
	return &checker{
		sim: s, running: map[scheduler.TaskID][]*simWorker{}, begins: map[scheduler.TaskID][]int64{},
		done: map[scheduler.TaskID]bool{}, failures: map[scheduler.TaskID]int{}, moved: map[scheduler.TaskID]bool{}, lastOver: map[scheduler.TaskID]int64{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("%d: ", c.sim.now)+fmt.Sprintf(format, args...))
}

func (c *checker) started(w *simWorker, r *simRun, o scheduler.Order) {
	c.sim.trace("begins %v %d on %s", r.task, r.run, w.id)
	j := c.sim.jobs[r.task.Job]
	if len(c.running[r.task]) > 0 && !r.step.GetSpeculative() {
		c.fault("two runs at once of %v: on %s and %s", r.task, c.running[r.task][0].id, w.id)
	}
	c.running[r.task] = append(c.running[r.task], w)
	c.begins[r.task] = append(c.begins[r.task], c.sim.now)
	if due := j.due(r.task.Occurrence); c.sim.now < due-simConfig.Early.Milliseconds() {
		c.fault("%v started early", r.task)
	}
	if o.Payload != j.rec.GetSpec().GetPayload() {
		c.fault("wrong payload for %v", r.task)
	}
	prefix := fmt.Sprintf("%s.%d.%d.%d@", r.task.Job, r.task.Occurrence, r.task.Step, memberIndex(r))
	if o.Checkpoint != "" && !strings.HasPrefix(o.Checkpoint, prefix) {
		c.fault("checkpoint %q is not of %v", o.Checkpoint, r.task)
	}
	c.fits(w, r)
	c.inOrder(j, r)
}

// fits judges the room on the worker and the bound for each host.
func (c *checker) fits(w *simWorker, r *simRun) {
	used := needOf(r.step)
	hosts := int64(1)
	for _, x := range w.running {
		n := needOf(x.step)
		used = scheduler.Resources{CPUMilli: used.CPUMilli + n.CPUMilli, MemoryMB: used.MemoryMB + n.MemoryMB, GPU: used.GPU + n.GPU}
		if x.task.Job == r.task.Job && x.task.Step == r.task.Step && x.task.Occurrence == r.task.Occurrence {
			hosts++
		}
	}
	if used.CPUMilli > w.capacity.CPUMilli || used.MemoryMB > w.capacity.MemoryMB || used.GPU > w.capacity.GPU {
		c.fault("over capacity on %s: %+v of %+v", w.id, used, w.capacity)
	}
	if limit := r.step.GetMaxPerHost(); limit > 0 && hosts > limit {
		c.fault("too many of step on %s: %v", w.id, r.task)
	}
}

// inOrder judges whether the steps before are done.
func (c *checker) inOrder(j *simJob, r *simRun) {
	for _, a := range r.step.GetAfter() {
		for i := range j.rec.GetSpec().GetSteps()[a].GetCount() {
			before := scheduler.TaskID{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: int(a), Index: int(i)}
			if !c.succeeded(before) {
				c.fault("%v started before %v was done", r.task, before)
			}
		}
	}
}

// stopped judges whether a stop takes a persistent task away beyond the budget of its step.
func (c *checker) stopped(w *simWorker, o scheduler.Order, held int64) {
	const promptly = 50
	for _, r := range w.running {
		if r.task != o.Task || r.run != o.Run || r.stopping || !r.step.GetPersistent() || !r.atWork() {
			continue
		}
		if w.draining || held > promptly || c.sim.jobs[r.task.Job].cancelledAt > 0 {
			continue
		}
		c.moved[r.task] = true
		away := int64(0)
		for i := range r.step.GetCount() {
			other := r.task
			other.Index = int(i)
			if other != r.task && c.away(other) {
				away++
			}
		}
		if away >= r.step.GetMayMiss() {
			c.fault("stop of %v with %d others away", r.task, away)
		}
	}
}

// away tells whether a task was moved and is not at work again, or has not been at work for long.
func (c *checker) away(id scheduler.TaskID) bool {
	for _, w := range c.running[id] {
		for _, r := range w.running {
			if r.task == id && r.atWork() {
				return false
			}
		}
	}
	since := max(c.lastOver[id], c.sim.jobs[id.Job].rec.GetAcceptedMs()-simEpoch)
	return c.moved[id] || c.sim.now-since > simConfig.Notice.Milliseconds()
}

func (r *simRun) atWork() bool { return !r.stopping && r.sim.now-r.began >= simStartup }

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

func (c *checker) over(w *simWorker, r *simRun) {
	list := c.running[r.task]
	if r.atWork() {
		c.lastOver[r.task] = c.sim.now
		c.moved[r.task] = r.stopping
	} else if r.stopping {
		c.lastOver[r.task] = c.sim.now
	}
	for i, x := range list {
		if x == w {
			c.running[r.task] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

func (c *checker) ended(w *simWorker, r *simRun, how scheduler.RunEnd) {
	c.sim.trace("ends %v %d on %s %d", r.task, r.run, w.id, how)
	switch how {
	case scheduler.EndSucceeded:
		c.done[r.task] = true
	case scheduler.EndFailed:
		c.failures[r.task]++
	case scheduler.EndAlone:
		if c.sim.calm() {
			c.fault("%v waited alone on %s", r.task, w.id)
		}
	default:
	}
}

func (c *checker) noted(w *simWorker, e scheduler.EndedRun) {
	if e.Number <= w.lapsedAt {
		return
	}
	c.notes = append(c.notes, note{e.Task, e.End, w.endAt[e.Number]})
}

// ordered judges an order at the moment the owner gives it.
func (c *checker) ordered(o scheduler.Order) {
	if o.Kind != scheduler.OrderStart {
		return
	}
	if j := c.sim.jobs[o.Task.Job]; j.cancelledAt > 0 && c.sim.now > j.cancelledAt+100 {
		c.fault("%v ordered after its job was cancelled", o.Task)
	}
	if w := c.sim.byID[o.Worker]; w.draining && c.sim.now > c.sim.drainKnown[w.id] {
		c.fault("%v ordered on draining %s", o.Task, o.Worker)
	}
}

// shown judges a state as a caller sees it.
func (c *checker) shown(j *simJob, state pb.JobState) {
	switch state {
	case pb.JobState_JOB_STATE_COMPLETED:
		j.each(func(id scheduler.TaskID, _ *pb.JobStep) {
			if !c.succeeded(id) {
				c.fault("%s shown as completed without %v", j.id, id)
			}
		})
	case pb.JobState_JOB_STATE_FAILED:
		if !c.failedOften(j) {
			c.fault("%s shown as failed without cause", j.id)
		}
	case pb.JobState_JOB_STATE_CANCELLED:
		if j.cancelledAt == 0 {
			c.fault("%s shown as cancelled without cause", j.id)
		}
	default:
	}
	if j.lastShown != state && (j.lastShown == pb.JobState_JOB_STATE_COMPLETED || j.lastShown == pb.JobState_JOB_STATE_FAILED) {
		c.fault("%s went from %v to %v", j.id, j.lastShown, state)
	}
	j.lastShown = state
}

func (c *checker) failedOften(j *simJob) bool {
	often := false
	sums := map[scheduler.TaskID]int{}
	j.each(func(id scheduler.TaskID, step *pb.JobStep) {
		key := id
		if step.GetGang() {
			key.Index = 0
		}
		sums[key] += c.failures[id]
		often = often || sums[key] >= simAttempts
	})
	return often
}

// finish judges the whole day: what was noted against what began, and what is still open.
func (c *checker) finish() {
	failed := map[scheduler.TaskID][]int64{}
	for _, n := range c.notes {
		step := c.sim.jobs[n.task.Job].rec.GetSpec().GetSteps()[n.task.Step]
		if step.GetPersistent() {
			continue
		}
		if n.end == scheduler.EndFailed {
			failed[n.task] = append(failed[n.task], n.at)
		}
		for _, at := range c.begins[n.task] {
			if n.end == scheduler.EndSucceeded && at > n.at && !step.GetSpeculative() {
				c.fault("%v began at %d after it had succeeded at %d", n.task, at, n.at)
			}
		}
	}
	c.finishAttempts(failed)
	for _, id := range c.sim.jobIDs {
		c.finishJob(c.sim.jobs[id])
	}
	for _, w := range c.sim.workers {
		if w.up && len(w.ended) > 0 {
			c.fault("%d ends of %s were never acknowledged, first %+v", len(w.ended), w.id, w.ended[0])
		}
	}
}

// finishAttempts judges starts after the last attempt had failed.
func (c *checker) finishAttempts(failed map[scheduler.TaskID][]int64) {
	for id, ends := range failed {
		for _, at := range c.begins[id] {
			before := 0
			for _, e := range ends {
				if e < at {
					before++
				}
			}
			if before >= simAttempts {
				c.fault("%v began at %d after %d failures", id, at, before)
			}
		}
	}
}

func (c *checker) finishJob(j *simJob) {
	state := c.sim.owner.pool.State(j.id)
	if j.cancelledAt > 0 && state != pb.JobState_JOB_STATE_COMPLETED && state != pb.JobState_JOB_STATE_FAILED {
		j.each(func(id scheduler.TaskID, _ *pb.JobStep) {
			if len(c.running[id]) > 0 {
				c.fault("%v of a cancelled job still runs", id)
			}
		})
		return
	}
	if j.persistent() {
		j.each(func(id scheduler.TaskID, _ *pb.JobStep) {
			if len(c.running[id]) != 1 {
				c.fault("%d runs of persistent %v at the end", len(c.running[id]), id)
			}
		})
		return
	}
	if state != pb.JobState_JOB_STATE_COMPLETED && state != pb.JobState_JOB_STATE_FAILED {
		c.fault("%s is stuck as %v: %s", j.id, state, strings.Join(c.sim.owner.pool.Explain(j.id), "; "))
	}
}

func needOf(s *pb.JobStep) scheduler.Resources {
	n := scheduler.Resources{CPUMilli: s.GetCpuMilli(), MemoryMB: s.GetMemoryMb(), GPU: s.GetGpu()}
	if s.GetFills() {
		n.CPUMilli = 0
	}
	return n
}
