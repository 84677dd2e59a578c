package jobplatform

import "time"

// absenceGrace is how long a persistent task may be down for a reason other than an order before it counts as unavailable.
const absenceGrace = 5 * time.Second

// displaced records that an order ends a run and checks the disruption budget of the task's step.
func (h *History) displaced(t taskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	step, task := &j.Steps[t.step], j.tasks[t]
	if !step.Persistent || j.cancelAsked || !task.serving(time.Now()) {
		return
	}
	task.displacedAt = time.Now()
	unavailable := 0
	for index := range step.Count {
		other := taskID{t.job, t.step, index}
		if other != t && j.tasks[other].isUnavailable(time.Now()) {
			unavailable++
		}
	}
	if unavailable >= step.MayMiss {
		h.reportViolationLocked("an order ended %v while %d other tasks of its step were unavailable", t, unavailable)
	}
}

func (t *taskHistory) serving(now time.Time) bool {
	return t != nil && t.running > 0 && now.Sub(t.startedAt) >= startupTime
}

// away reports whether the task is unavailable because of an order, or has been down longer than absenceGrace for another
// reason. A task that never ran does not count.
func (t *taskHistory) isUnavailable(now time.Time) bool {
	if t == nil || len(t.runs) == 0 {
		return false
	}
	recovered := t.startedAt.After(t.displacedAt) && t.serving(now)
	if !t.displacedAt.IsZero() && !recovered {
		return true
	}
	return t.running == 0 && now.Sub(t.idleSince) > absenceGrace
}
