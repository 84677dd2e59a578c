package jobplatform

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// saveInterval is the work between two checkpoints, restoreTime what a start from one takes longer.
	saveInterval = time.Second
	restoreTime  = 600 * time.Millisecond
	percent      = 100
)

type run struct {
	task   taskID
	name   string
	number int64
	step   Step
	// workFrom is when it begins to work: after its restore, and for a member of a gang when all are there.
	began, workFrom time.Time
	gang            *gang
	// restored and saved are work at the checkpoint that it came from and at the last one that it made.
	restored, saved time.Duration
	// stopAt is zero unless the run is being stopped.
	stopAt time.Time
}

func newRun(o orderBody, t taskID, step Step) *run {
	now := time.Now()
	r := &run{task: t, name: o.Task, number: o.Run, step: step, began: now, workFrom: now}
	return r
}

// resume begins at a checkpoint; it returns false if that is not one of the run's task.
func (r *run) resume(checkpoint string) bool {
	at, ok := strings.CutPrefix(checkpoint, r.owner()+"@")
	ms, err := strconv.ParseInt(at, 10, 64)
	r.restored = time.Duration(ms) * time.Millisecond
	r.saved = r.restored
	r.workFrom = r.began.Add(restoreTime)
	return ok && err == nil
}

// owner names whose checkpoints may be used: the task, or the gang.
func (r *run) owner() string {
	if r.step.Gang {
		return fmt.Sprintf("%s.%d", r.task.job, r.task.step)
	}
	return r.name
}

// checkpoint is empty if there is none.
func (r *run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", r.owner(), r.saved.Milliseconds())
}

// work is how much was done of the step's work.
func (r *run) work(now time.Time) time.Duration {
	from := r.workFrom
	if r.gang != nil {
		together, _ := r.gang.look()
		if together.IsZero() {
			return r.restored
		}
		if together.After(from) {
			from = together
		}
	}
	return r.restored + max(0, now.Sub(from))
}

// save makes a checkpoint if one is due, or at a stop.
func (r *run) save(now time.Time, stopping bool) {
	if !r.step.SavesProgress {
		return
	}
	if work := min(r.work(now), r.step.Work); stopping || work-r.saved >= saveInterval {
		r.saved = work
	}
}

// due is the end that a run has come to, empty if it goes on.
func (r *run) due(now time.Time) string {
	if r.gang != nil {
		together, imposed := r.gang.look()
		if imposed != "" {
			return imposed
		}
		if together.IsZero() && now.Sub(r.began) > gangTime {
			return endAlone
		}
	}
	switch {
	case r.step.Persistent || r.work(now) < r.step.Work:
		return ""
	case r.step.FirstRunFails:
		return endFailed
	}
	return endDone
}

func (r *run) percent(now time.Time) int {
	if !r.step.Persistent {
		return int(min(percent, percent*r.work(now)/max(r.step.Work, 1)))
	}
	if now.Sub(r.began) < startupTime {
		return 0
	}
	return percent
}
