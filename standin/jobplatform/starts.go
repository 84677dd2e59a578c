package jobplatform

import "time"

// started notes a start on a worker of a pool and returns the task's step. ok is false if nobody handed the task in.
func (h *History) started(worker, pool, payload string, t taskID) (step Step, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	if j == nil || !j.has(t) {
		h.breakLocked("worker %s was told to start %v, which nobody handed in", worker, t)
		return Step{}, false
	}
	h.checkJobLocked(j, worker, pool, payload, t)
	task := j.tasks[t]
	if task == nil {
		task = &taskHistory{}
		j.tasks[t] = task
	}
	h.noteLocked("job %s: %v starts on worker %s", t.job, t, worker)
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
		h.breakLocked("%v started on worker %s of pool %s", t, worker, pool)
	}
	if j.Payload != payload {
		h.breakLocked("%v started with another payload", t)
	}
	if j.refused {
		h.breakLocked("%v started although its job was refused", t)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > cancelTime {
		h.breakLocked("%v started %v after its job's cancellation", t, time.Since(j.cancelledAt).Round(time.Millisecond))
	}
	for _, earlier := range j.Steps[t.step].After {
		if open := j.openIn(earlier); open > 0 {
			h.breakLocked("%v started with %d tasks of step %d open", t, open, earlier)
		}
	}
}

func (h *History) checkTaskLocked(task *taskHistory, worker string, t taskID) {
	if task.running > 0 {
		h.breakLocked("%v runs twice at once, now on worker %s", t, worker)
	}
	if task.noted {
		h.breakLocked("%v started on worker %s after its success was taken note of", t, worker)
	}
}

// over notes the end of a run.
func (h *History) over(t taskID, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	task := h.jobs[t.job].tasks[t]
	if task.startedAt.After(task.displacedAt) && task.atWork(time.Now()) {
		// It was back at work: no order has ended it this time.
		task.displacedAt = time.Time{}
	}
	task.running--
	h.noteLocked("job %s: a run of %v ends %q", t.job, t, how)
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

// taken notes that an end with success was taken note of. A second one means that the task succeeded twice.
func (h *History) taken(t taskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	task := h.jobs[t.job].tasks[t]
	h.noteLocked("job %s: the success of %v is taken note of", t.job, t)
	if task.noted {
		h.breakLocked("%v succeeded twice", t)
	}
	task.noted = true
}

func (h *History) count(add func(*Totals)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	add(&h.totals)
}

// demand is what a task needs.
func (h *History) demand(t taskID) (need capacity, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	if j == nil || !j.has(t) {
		return capacity{}, false
	}
	return capacity{CPU: j.Steps[t.step].CPUMilli, MemMB: j.Steps[t.step].MemoryMB}, true
}
