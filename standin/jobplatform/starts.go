package jobplatform

import "time"

// started records a start on a worker of a pool and returns the task's step. ok is false if the task was never submitted.
func (h *History) started(worker, pool string, o orderBody, t taskID) (record *runRecord, step Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	if j == nil || !j.has(t) {
		h.reportViolationLocked("worker %s was told to start %v, which was never submitted", worker, t)
		return nil, Step{}, false
	}
	h.checkJobLocked(j, worker, pool, o.Spec, t)
	task := j.tasks[t]
	if task == nil {
		task = &taskHistory{}
		j.tasks[t] = task
	}
	record = &runRecord{task: t, worker: worker, number: o.Run, startedAt: time.Now()}
	task.runs = append(task.runs, record)
	h.logLocked("job %s: %v starts, %s", t.job, t, record.id())
	h.checkTaskLocked(task, worker, t)
	task.running++
	task.startedAt = record.startedAt
	h.totals.Starts++
	h.starts[pool] = append(h.starts[pool], task.startedAt)
	step = j.Steps[t.step]
	step.FirstRunFails = step.FirstRunFails && len(task.runs) == 1 && (!step.Gang || t.index == 0)
	return record, step, true
}

func (h *History) checkJobLocked(j *jobHistory, worker, pool, payload string, t taskID) {
	if j.Pool != pool {
		h.reportViolationLocked("%v started on worker %s of pool %s", t, worker, pool)
	}
	if j.Payload != payload {
		h.reportViolationLocked("%v started with another payload", t)
	}
	if j.rejected {
		h.reportViolationLocked("%v started although its job was rejected", t)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelGrace {
		h.reportViolationLocked("%v started %v after its job's cancellation", t, time.Since(j.cancelledAt).Round(time.Millisecond))
	}
	for _, earlier := range j.Steps[t.step].After {
		if open := j.openInStep(earlier); open > 0 {
			h.reportViolationLocked("%v started with %d tasks of step %d open", t, open, earlier)
		}
	}
}

func (h *History) checkTaskLocked(task *taskHistory, worker string, t taskID) {
	if task.running > 0 {
		h.reportViolationLocked("%v runs twice at once, now on worker %s: %s", t, worker, task.describeRuns())
	}
	if task.acknowledged {
		h.reportViolationLocked("%v started on worker %s after its success was acknowledged: %s", t, worker, task.describeRuns())
	}
}

// runEnded records the end of a run.
func (h *History) runEnded(r *runRecord, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.endedAt, r.end = time.Now(), how
	t := r.task
	task := h.jobs[t.job].tasks[t]
	if task.startedAt.After(task.displacedAt) && task.serving(time.Now()) {
		// The task was serving again, so this end is not the result of an order.
		task.displacedAt = time.Time{}
	}
	task.running--
	h.logLocked("job %s: %v ends %q, %s", t.job, t, how, r.id())
	task.idleSince = r.endedAt
	switch how {
	case endDone:
		task.done++
		h.totals.Done++
	case endFailed:
		h.totals.Failed++
	case endStopped:
		h.totals.Stopped++
	case endLapsed:
		h.totals.Lapsed++
	case endBroken, endAlone:
		h.totals.Apart++
	default:
		h.totals.Gone++
	}
}

// successAcknowledged records that an owner acknowledged a successful end. A second one means that the task succeeded twice.
// An end after which the worker's lease lapsed does not count, because the owner may have given the run up by then.
func (h *History) successAcknowledged(r *runRecord, lapsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.acknowledgedAt, r.lapsed = time.Now(), lapsed
	t := r.task
	task := h.jobs[t.job].tasks[t]
	if lapsed {
		h.logLocked("job %s: the success of %v is acknowledged after its worker's lease lapsed, %s", t.job, t, r.id())
		return
	}
	h.logLocked("job %s: the success of %v is acknowledged, %s", t.job, t, r.id())
	if task.acknowledged {
		h.reportViolationLocked("%v succeeded twice: %s", t, task.describeRuns())
	}
	if task.startedAt.After(r.endedAt) {
		h.reportViolationLocked("%v started after its success, which was acknowledged later: %s", t, task.describeRuns())
	}
	task.acknowledged = true
}

func (h *History) count(add func(*Totals)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add(&h.totals)
}

// demand returns the resources that a task requires.
func (h *History) demand(t taskID) (need capacity, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	if j == nil || !j.has(t) {
		return capacity{}, false
	}
	return capacity{CPU: j.Steps[t.step].CPUMilli, MemMB: j.Steps[t.step].MemoryMB}, true
}
