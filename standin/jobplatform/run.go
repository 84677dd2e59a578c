package jobplatform

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

const (
	// saveInterval is the work between two checkpoints, restoreTime the extra time of a start from a checkpoint.
	saveInterval = time.Second
	restoreTime  = 600 * time.Millisecond
	percent      = 100
)

type run struct {
	task   taskID
	name   string
	number int64
	step   Step
	record *runRecord
	// workFrom is the start of the work, after a restore. A member of a gang also waits until all members have joined.
	startedAt, workFrom time.Time
	gang                *gang
	// restored and saved are the work at the checkpoint of the start and at the last checkpoint.
	restored, saved time.Duration
	// stopAt is zero unless the run is being stopped.
	stopAt time.Time
}

func newRun(o orderBody, t taskID, step Step, record *runRecord) *run {
	now := time.Now()
	r := &run{task: t, name: o.Task, number: o.Run, step: step, record: record, startedAt: now, workFrom: now}
	return r
}

// resume restores a checkpoint; it returns false if that belongs to another task.
func (r *run) resume(checkpoint string) bool {
	at, ok := strings.CutPrefix(checkpoint, r.owner()+"@")
	ms, err := strconv.ParseInt(at, 10, 64)
	r.restored = time.Duration(ms) * time.Millisecond
	r.saved = r.restored
	r.workFrom = r.startedAt.Add(restoreTime)
	return ok && err == nil
}

// owner returns the name of the owner of the checkpoints: the task, or the gang.
func (r *run) owner() string {
	if r.step.Gang {
		return fmt.Sprintf("%s.%d", r.task.job, r.task.step)
	}
	return r.name
}

// checkpoint returns the name of the last checkpoint, empty if there is none.
func (r *run) checkpoint() string {
	if r.saved == 0 {
		return ""
	}
	return fmt.Sprintf("%s@%d", r.owner(), r.saved.Milliseconds())
}

// work returns the completed work of the step.
func (r *run) work(now time.Time) time.Duration {
	from := r.workFrom
	if r.gang != nil {
		assembledAt, _ := r.gang.status()
		if assembledAt.IsZero() {
			return r.restored
		}
		if assembledAt.After(from) {
			from = assembledAt
		}
	}
	return r.restored + max(0, now.Sub(from))
}

// save makes a checkpoint if one is due or the run is being stopped.
func (r *run) save(now time.Time, stopping bool) {
	if !r.step.SavesProgress {
		return
	}
	if work := min(r.work(now), r.step.Work); stopping || work-r.saved >= saveInterval {
		r.saved = work
	}
}

// outcome returns the end that the run has reached, empty while it continues.
func (r *run) outcome(now time.Time) string {
	if r.gang != nil {
		assembledAt, imposed := r.gang.status()
		if imposed != "" {
			return imposed
		}
		if assembledAt.IsZero() && now.Sub(r.startedAt) > gangTimeout {
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
	if now.Sub(r.startedAt) < startupTime {
		return 0
	}
	return percent
}
