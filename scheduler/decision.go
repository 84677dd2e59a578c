package scheduler

import "time"

// Decision explains one decision for the log: what was decided, about what, and why.
type Decision struct {
	// Kind is a short constant name such as "start", "stop", "lost", "failed".
	Kind   string
	Task   TaskID
	Worker string
	Run    int64
	Reason string
	// Attempt counts the failed runs of the task, of Attempts that its queue allows. Both are 0 for other kinds.
	Attempt, Attempts int
	// Count is the number of tasks of a step that is done.
	Count int
	// Workers is how many workers an owner that took over has waited for.
	Workers int
	// Age is the time since the job was accepted, for what happens to a job as a whole, or since the takeover.
	Age time.Duration
}

// Kinds of decisions that concern a job or the pool as a whole, or count attempts.
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

// String names the end for the log.
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

// decideStepDone notes that all tasks of a step have succeeded.
func (p *Pool) decideStepDone(now time.Time, s *step) {
	if p.restoring {
		return
	}
	j := s.occ.job
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionStepDone, Count: len(s.tasks), Age: now.Sub(j.accepted),
		Task: TaskID{Job: j.id, Occurrence: s.occ.number, Step: s.number},
	})
}

// decideAttempt notes a failed run that counts.
func (p *Pool) decideAttempt(r *run, attempt, attempts int) {
	p.decide(DecisionAttempt, r, "")
	d := &p.out.Decisions[len(p.out.Decisions)-1]
	d.Attempt, d.Attempts = attempt, attempts
}

// decideJob notes what happened to a job as a whole.
func (p *Pool) decideJob(now time.Time, kind string, j *job, reason string) {
	d := Decision{Kind: kind, Task: TaskID{Job: j.id}, Reason: reason, Age: now.Sub(j.accepted)}
	if kind == DecisionFailed {
		d.Attempts = p.maxAttempts(j)
	}
	p.out.Decisions = append(p.out.Decisions, d)
}
