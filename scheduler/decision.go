package scheduler

import "time"

// Decision explains one decision for the log: what was decided, about which task or worker, and why.
type Decision struct {
	// Kind is a short constant name such as "start", "stop", "lost", "failed".
	Kind   string
	Task   TaskID
	Worker string
	Run    int64
	Reason string
	// Attempt counts the failed runs of the task, for DecisionAttempt. Attempts is how many its queue allows, for
	// DecisionAttempt and DecisionFailed.
	Attempt, Attempts int
	// Count is the number of tasks of a completed step, or the number of runs that are preempted.
	Count int
	// Workers is the number of workers that a takeover waited for.
	Workers int
	// Age is the time since the job was accepted, for decisions about a whole job or step, or since the takeover.
	Age time.Duration
}

// Kinds of decisions that concern a whole job, a step or the pool, or that count attempts or preempted runs.
const (
	DecisionBegun     = "begun"
	DecisionCompleted = "completed"
	DecisionFailed    = "failed"
	DecisionCancelled = "cancelled"
	DecisionEnded     = "ended"
	DecisionStepDone  = "step done"
	DecisionAttempt   = "attempt failed"
	DecisionPreempted = "preempted"
	DecisionTakenOver = "taken over"
)

// String returns the name of the end for the log.
func (e RunEnd) String() string {
	names := [...]string{
		EndUnknown: "unknown", EndSucceeded: "succeeded", EndFailed: "failed", EndStopped: "stopped",
		EndLapsed: "lapsed", EndBroken: "broken", EndAlone: "alone",
	}
	if e < 0 || int(e) >= len(names) {
		return "unknown"
	}
	return names[e]
}

// addStepDone adds the decision that all tasks of a step have succeeded.
func (p *Pool) addStepDone(now time.Time, s *step) {
	if p.restoring {
		return
	}
	j := s.occ.job
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionStepDone, Count: len(s.tasks), Age: now.Sub(j.accepted),
		Task: TaskID{Job: j.id, Occurrence: s.occ.number, Step: s.number},
	})
}

// addFailedAttempt adds the decision that a failed run counts as an attempt.
func (p *Pool) addFailedAttempt(r *run, attempt, attempts int) {
	p.addDecision(DecisionAttempt, r, "")
	d := &p.out.Decisions[len(p.out.Decisions)-1]
	d.Attempt, d.Attempts = attempt, attempts
}

// addJobDecision adds a decision about a whole job.
func (p *Pool) addJobDecision(now time.Time, kind string, j *job, reason string) {
	d := Decision{Kind: kind, Task: TaskID{Job: j.id}, Reason: reason, Age: now.Sub(j.accepted)}
	if kind == DecisionFailed {
		d.Attempts = p.maxAttempts(j)
	}
	p.out.Decisions = append(p.out.Decisions, d)
}
