package scheduler

import (
	"time"

	"github.com/samber/lo"
)

// Decision explains one decision for the log: what was decided, about which task or worker, and why.
type Decision struct {
	// Kind is a short constant name such as "start", "stop", "lost", "failed".
	Kind string
	Task TaskID
	// Queue is set for decisions about a queue.
	Queue  string
	Worker string
	Run    int64
	Reason string
	// Attempt counts the failed runs of the task, for DecisionAttempt. Attempts is how many its queue allows, for
	// DecisionAttempt and DecisionFailed.
	Attempt, Attempts int
	// Crashes is the number of workers that crashed while they may have run the task, for DecisionCharged and DecisionGivenUp. Suspected means
	// that the next start of the task is a trial.
	Crashes   int
	Suspected bool
	// Count is the number of tasks of a completed step, the number of runs that are preempted, or the number of runs that
	// were on a worker that crashed or ended, or whose seal was adopted, of starts that are kept, or of ends listed. For DecisionBeyondWeight and DecisionWithinWeight it
	// is the number of jobs beyond the weight.
	Count int
	// Workers is the number of workers that a takeover waited for, Unreported are those of them that had not reported by its end.
	Workers    int
	Unreported []string
	// Ends is the number of ended runs that the worker had reported and that are not durable, for DecisionWorkerEnded.
	Ends int
	// Other is another run of the task, for DecisionStartedAgain.
	Other int64
	// Born is the incarnation that ended, for DecisionWorkerEnded, or of which a run is missing, for DecisionEndsForgotten. Silence is
	// the time since the worker was last heard from, for DecisionWorkerEnded and DecisionLost.
	Born    int64
	Silence time.Duration
	// Unanswered means that a hold of the incarnation that ended got no answer, for DecisionWorkerEnded.
	Unanswered bool
	// LeaseBasis tells whether the lease of a silent worker ended by a requested or an assumed expiry, Answering is how long before the
	// last answer its incarnation had first answered this owner; both for DecisionLost.
	LeaseBasis string
	Answering  time.Duration
	// Wait is how long a state lasts at most, for DecisionStartsKept.
	Wait time.Duration
	// Workspace is the workspace of the job, for decisions about a whole job and for those about a workspace.
	Workspace string
	// Age is the time since the job was accepted, for decisions about a whole job or step, or since the takeover. For a lost
	// run it is the time since its start was ordered, and for a crashed worker that of its youngest run; 0 if another owner
	// ordered it.
	Age time.Duration
}

// Kinds of decisions that concern a whole job, a step, a worker or the pool, or that count attempts or preempted runs.
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
	DecisionLost      = "lost"
	DecisionCrashed   = "crashed"
	// DecisionWorkerEnded means that an incarnation of a worker counts as ended. The reason names the evidence.
	DecisionWorkerEnded = "worker ended"
	// DecisionStartsKept means that unanswered starts outlast the end of their worker. Count is the number of starts, Wait is how
	// long they are kept at most.
	DecisionStartsKept = "starts kept"
	// DecisionEndsHidden means that a worker lists only a part of the runs that have ended there, and that batch tasks wait for the rest.
	// Count is the number of ends listed. DecisionEndsShown means that they need not wait for the worker any more.
	DecisionEndsHidden = "ends hidden"
	DecisionEndsShown  = "ends shown"
	// DecisionUnrecordedRuns means that a worker lists runs of earlier owners, none of which has recorded it: the takeover did not wait for
	// it. Count is the number of runs and of ends.
	DecisionUnrecordedRuns = "unrecorded runs"
	// DecisionStartedAgain means that a run has succeeded of which another one was started since.
	DecisionStartedAgain = "started again"
	// DecisionEndsForgotten means that a run is missing on a worker that has listed no end yet, so that it has probably forgotten the run's
	// end. Batch tasks start there only to be stopped until it has listed one.
	DecisionEndsForgotten = "ends forgotten"
	// DecisionSealAdopted means that a takeover does not wait for a worker, since its seal tells what may run there.
	DecisionSealAdopted = "seal adopted"
	DecisionCharged     = "charged"
	DecisionGivenUp     = "given up"
	// DecisionHeld means that tasks of a workspace wait for its limit. Count is the number of tasks.
	DecisionHeld = "held"
	// DecisionBeyondWeight and DecisionWithinWeight are the begin and the end of a time in which a workspace submits jobs
	// beyond its weight.
	DecisionBeyondWeight = "beyond weight"
	DecisionWithinWeight = "within weight"
	// DecisionContained and DecisionContainmentEnded: from the first to the second, the untried tasks of the queue start on few
	// workers, since its tasks crash workers. Crashes is the number of crashes charged to it.
	DecisionContained        = "contained"
	DecisionContainmentEnded = "containment ended"
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

// addLost adds the decision that a run ended with its worker or its lease, or disappeared.
func (p *Pool) addLost(now time.Time, r *run, reason string) {
	p.addDecision(DecisionLost, r, reason)
	d := &p.out.Decisions[len(p.out.Decisions)-1]
	d.Age, d.Silence = r.age(now), now.Sub(r.worker.lastReport)
	if w := r.worker; reason == reasonLeaseExpired && w.reported {
		d.LeaseBasis, d.Answering = w.leaseBasis(), w.lastReport.Sub(w.reportedAt)
	}
}

// addWorkerEnded adds the decision that the current incarnation of a worker has ended.
func (p *Pool) addWorkerEnded(now time.Time, w *worker, reason string) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: DecisionWorkerEnded, Worker: w.ID, Born: w.Born, Reason: reason, Count: len(w.runs), Silence: now.Sub(w.lastReport),
		Unanswered: w.unreachable, Ends: len(w.ends.unrecorded()),
	})
}

// addUnrecordedRuns adds the decision that a worker which no earlier owner has recorded lists runs of one, if it does.
func (p *Pool) addUnrecordedRuns(w *worker, r *Report) {
	earlier := func(run int64) bool { return run>>runCounterBits < int64(p.cfg.Fence) } //nolint:gosec // revisions are small
	count := lo.CountBy(r.Running, func(x RunningTask) bool { return earlier(x.Run) }) +
		lo.CountBy(r.Ended, func(x EndedRun) bool { return earlier(x.Run) })
	if w.Unused && count > 0 {
		p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionUnrecordedRuns, Worker: w.ID, Born: w.Born, Count: count})
	}
}

// addStartedAgain adds the decision that a run has succeeded of which another one was started since, if there is one.
func (p *Pool) addStartedAgain(r *run) {
	t := r.task
	if t.step.spec.GetSpeculative() || t.step.spec.GetGang() {
		return
	}
	for _, other := range t.runs {
		if other.number > r.number {
			p.addDecision(DecisionStartedAgain, r, "")
			p.out.Decisions[len(p.out.Decisions)-1].Other = other.number
			return
		}
	}
}

// addStartsKept adds the decision that unanswered starts outlast the end of their worker.
func (p *Pool) addStartsKept(w *worker, count int, wait time.Duration) {
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: DecisionStartsKept, Worker: w.ID, Count: count, Wait: wait})
}

// addCrash adds the decision that the current incarnation of a worker has ended unexpectedly.
func (p *Pool) addCrash(now time.Time, w *worker, reason string) {
	d := Decision{Kind: DecisionCrashed, Worker: w.ID, Reason: reason, Count: len(w.runs)}
	for _, r := range w.runs {
		if age := r.age(now); d.Age == 0 || age < d.Age {
			d.Age = age
		}
	}
	p.out.Decisions = append(p.out.Decisions, d)
}

// addCrashDecision adds a decision about a task under which a worker crashed.
func (p *Pool) addCrashDecision(kind string, r *run) {
	p.addDecision(kind, r, "")
	d := &p.out.Decisions[len(p.out.Decisions)-1]
	d.Crashes, d.Suspected = r.task.crashes.total()+r.task.crashes.beside, r.task.crashes.suspected
}

// addJobDecision adds a decision about a whole job.
func (p *Pool) addJobDecision(now time.Time, kind string, j *job, reason string) {
	p.out.Decisions = append(p.out.Decisions, Decision{
		Kind: kind, Task: TaskID{Job: j.id}, Reason: reason, Age: now.Sub(j.accepted), Workspace: j.workspace,
	})
}
