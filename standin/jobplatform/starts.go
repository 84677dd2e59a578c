package jobplatform

import "time"

// started records a start on a worker of a pool and returns the task's step. ok is false if the task was never submitted.
func (h *History) started(worker, pool, payload string, t taskID) (step Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	if j == nil || !j.has(t) {
		h.reportViolationLocked("worker %s was told to start %v, which was never submitted", worker, t)
		return Step{}, false
	}
	h.checkJobLocked(j, worker, pool, payload, t)
	task := j.tasks[t]
	if task == nil {
		task = &taskHistory{}
		j.tasks[t] = task
	}
	h.logLocked("job %s: %v starts on worker %s", t.job, t, worker)
	h.checkTaskLocked(task, worker, t)
	task.running++
	task.runs++
	task.startedAt = time.Now()
	h.totals.Starts++
	h.starts[pool] = append(h.starts[pool], task.startedAt)
	step = j.Steps[t.step]
	step.FirstRunFails = step.FirstRunFails && task.runs == 1 && (!step.Gang || t.index == 0)
	return step, true
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
		h.reportViolationLocked("%v runs twice at once, now on worker %s", t, worker)
	}
	if task.acknowledged {
		h.reportViolationLocked("%v started on worker %s after its success was acknowledged", t, worker)
	}
}

// runEnded records the end of a run.
func (h *History) runEnded(t taskID, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	task := h.jobs[t.job].tasks[t]
	if task.startedAt.After(task.displacedAt) && task.serving(time.Now()) {
		// The task was serving again, so this end is not the result of an order.
		task.displacedAt = time.Time{}
	}
	task.running--
	h.logLocked("job %s: a run of %v ends %q", t.job, t, how)
	task.idleSince = time.Now()
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
func (h *History) successAcknowledged(t taskID, endedAt time.Time, lapsed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	task := h.jobs[t.job].tasks[t]
	if lapsed {
		h.logLocked("job %s: the success of %v is acknowledged after its worker's lease lapsed", t.job, t)
		return
	}
	h.logLocked("job %s: the success of %v is acknowledged", t.job, t)
	if task.acknowledged {
		h.reportViolationLocked("%v succeeded twice", t)
	}
	if task.startedAt.After(endedAt) {
		h.reportViolationLocked("%v started after its success, which was acknowledged later", t)
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
