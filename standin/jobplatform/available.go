package jobplatform

import "time"

// noticeTime is how long a persistent task may be away for another cause than an order before it counts as away.
const noticeTime = 5 * time.Second

// ordered notes that an order ends a run, and checks that not too many other tasks of its step are away.
func (h *History) ordered(t taskID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	j := h.jobs[t.job]
	step, task := &j.Steps[t.step], j.tasks[t]
	if !step.Persistent || j.cancelAsked || !task.atWork(time.Now()) {
		return
	}
	task.displacedAt = time.Now()
	away := 0
	for index := range step.Count {
		other := taskID{t.job, t.step, index}
		if other != t && j.tasks[other].away(time.Now()) {
			away++
		}
	}
	if away >= step.MayMiss {
		h.breakLocked("an order ended %v while %d other tasks of its step were away", t, away)
	}
}

func (t *taskHistory) atWork(now time.Time) bool {
	return t != nil && t.running > 0 && now.Sub(t.startedAt) >= startupTime
}

// away tells whether an order made the task unavailable, or another cause for long. One that never ran is not counted.
func (t *taskHistory) away(now time.Time) bool {
	if t == nil || t.runs == 0 {
		return false
	}
	back := t.startedAt.After(t.displacedAt) && t.atWork(now)
	if !t.displacedAt.IsZero() && !back {
		return true
	}
	return t.running == 0 && now.Sub(t.idleSince) > noticeTime
}
