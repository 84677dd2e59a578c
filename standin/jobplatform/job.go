package jobplatform

import (
	"strconv"
	"strings"
	"time"
)

// Job is a job as a caller submits it, with the behaviour of its tasks on a worker.
type Job struct {
	// ID is 16 hexadecimal digits.
	ID string
	// Queue is the prefix of the queue's path, Pool the pool that runs its jobs.
	Queue, Pool string
	Payload     string
	Steps       []Step
}

// Step is a group of Count identical tasks.
type Step struct {
	Count      int
	CPUMilli   int64
	MemoryMB   int64
	Work       time.Duration
	After      []int
	Persistent bool
	MayMiss    int
	// FirstRunFails makes the first run of each task fail; in a gang only that of the first member.
	FirstRunFails bool
	// SavesProgress enables checkpoints; Gang makes the tasks run only all together.
	SavesProgress, Gang bool
}

// taskID identifies a task of a Job.
type taskID struct {
	job         string
	step, index int
}

// parseTask parses the name of a task; only occurrence 0 is valid.
func parseTask(name string) (taskID, bool) {
	parts := strings.Split(name, ".")
	const job, occurrence, step, index, all = 0, 1, 2, 3, 4
	if len(parts) != all || parts[occurrence] != "0" {
		return taskID{}, false
	}
	s, stepErr := strconv.Atoi(parts[step])
	i, indexErr := strconv.Atoi(parts[index])
	return taskID{job: parts[job], step: s, index: i}, stepErr == nil && indexErr == nil
}

func (j *Job) has(t taskID) bool {
	return t.step >= 0 && t.step < len(j.Steps) && t.index >= 0 && t.index < j.Steps[t.step].Count
}

// Body returns the job as callers send it.
func (j *Job) Body() map[string]any {
	steps := make([]map[string]any, 0, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		step := map[string]any{
			"count": s.Count, "cpu": s.CPUMilli, "memMb": s.MemoryMB, "estimateMs": s.Work.Milliseconds(), "image": j.Queue,
		}
		if len(s.After) > 0 {
			step["after"] = s.After
		}
		if s.Persistent {
			step["persistent"], step["mayMiss"] = true, s.MayMiss
		}
		if s.SavesProgress {
			step["savesProgress"] = true
		}
		if s.Gang {
			step["gang"] = true
		}
		steps = append(steps, step)
	}
	return map[string]any{"spec": j.Payload, "steps": steps}
}
