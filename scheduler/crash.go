package scheduler

import (
	"slices"
	"time"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

// A worker that crashes reports no ends, so a task that crashes its workers never uses up its attempts. Crashes are
// charged to the tasks that ran on the worker, and the next start of a suspected task is a trial.
const (
	// startupTime is how long a run has to last for its start to be cleared of a crash of its worker.
	startupTime = 200 * time.Millisecond
	// besideSuspectCrashes is the number of crashes after which a task is suspected although its runs had lasted longer.
	besideSuspectCrashes = 3
	// settledAge is the age from which a run is no likely cause of a crash.
	settledAge = 5 * time.Second
	// giveUpCrashes is how many workers must have crashed under a task to give it up for a crash during its trial, and
	// weakGiveUpCrashes if the trial was not strict. From maxCrashes, counting starts that may not have begun, a task is
	// given up whatever ran beside it.
	giveUpCrashes     = 2
	weakGiveUpCrashes = 3
	maxCrashes        = 4
	// unsentAge is the age below which an unanswered start cannot have begun before its worker was found to have crashed.
	unsentAge = 100 * time.Millisecond
)

// crashHistory is what is known of the workers that crashed under a task.
type crashHistory struct {
	// workers counts those that crashed before the run was cleared, unanswered those that did after a start that may not have
	// begun. beside counts those that crashed under a cleared run, so that another task is the likely cause.
	workers, unanswered, beside int
	// after is the longest time for which a run had certainly lasted when its worker crashed.
	after time.Duration
	// suspected means that the next start of the task is a trial.
	suspected bool
	// onTrial means that a trial may have been ordered whose outcome is not known yet. It is recorded before the start, so
	// that a later owner counts a crash that this one does not live to see.
	onTrial bool
	// trialVersion is the version of the job's record that contains onTrial, and trialWaitingSince when it was requested.
	trialVersion      uint64
	trialWaitingSince time.Time
	// givenUp means that the task is not started again, although its job goes on.
	givenUp bool
	// presumed means that unanswered contains a trial of a previous owner, of which nothing has been seen yet.
	presumed bool
}

func (c *crashHistory) message() *pb.CrashHistory {
	return &pb.CrashHistory{
		Workers: int64(c.workers), Unanswered: int64(c.unanswered), AfterMs: c.after.Milliseconds(),
		Suspected: c.suspected, OnTrial: c.onTrial, Beside: int64(c.beside), GivenUp: c.givenUp,
	}
}

// crashHistoryOf restores a recorded history. A trial without a recorded outcome is presumed to have crashed its worker.
func crashHistoryOf(m *pb.CrashHistory) crashHistory {
	c := crashHistory{
		workers: int(m.GetWorkers()), unanswered: int(m.GetUnanswered()),
		after: time.Duration(m.GetAfterMs()) * time.Millisecond, suspected: m.GetSuspected(), presumed: m.GetOnTrial(),
		beside: int(m.GetBeside()), givenUp: m.GetGivenUp(),
	}
	if c.presumed {
		c.unanswered++
	}
	return c
}

// endPresumption takes back the crash that was presumed for a trial of a previous owner, as a worker has reported its run.
func (c *crashHistory) endPresumption() {
	if c.presumed {
		c.presumed = false
		c.unanswered--
	}
}

// total counts the crashes that the task may have caused.
func (c *crashHistory) total() int { return c.workers + c.unanswered }

// trialTime is how long a run of the task has to last to be cleared.
func (c *crashHistory) trialTime() time.Duration { return startupTime + c.after }

// lasted returns for how long the run has certainly executed, on the worker's clock.
func (r *run) lasted() time.Duration {
	if r.begunClock == 0 {
		return 0
	}
	return time.Duration(max(0, r.worker.lastClock-r.begunClock)) * time.Millisecond
}

// isCleared reports whether the run has outlasted the time after which its task is known to crash workers.
func (r *run) isCleared() bool {
	return r.task == nil || r.lasted() >= r.task.crashes.trialTime()
}

// isSettled reports whether the run has lasted so long that it is no likely cause of a crash.
func (r *run) isSettled() bool { return r.isCleared() && (r.task == nil || r.lasted() >= settledAge) }

// hasBegun reports whether the worker has certainly, or all but certainly, started the run.
func (r *run) hasBegun() bool {
	return r.begunClock > 0 || r.brokeOff || r.state == runAccepted || r.state == runRunning
}

// mayHaveBegun reports whether the run may have executed on a worker that was just found to have crashed.
func (r *run) mayHaveBegun(now time.Time) bool {
	return r.state != runOrdered || r.age(now) >= unsentAge
}

// chargeCrash charges the crash of a worker to the tasks that may have run there, and gives up a task whose trial ended
// with it.
func (p *Pool) chargeCrash(now time.Time, w *worker) {
	var charged []*run
	uncleared, unsettled := map[*job]bool{}, map[*job]bool{}
	queues := map[string]bool{}
	for _, r := range slices.Concat(w.runs, w.expired) {
		if r.task == nil || !r.mayHaveBegun(now) {
			continue
		}
		j := r.task.job()
		if !r.isCleared() {
			uncleared[j] = true
			queues[j.queue] = true
		}
		if !r.isSettled() {
			unsettled[j] = true
		}
		if !r.charged && !r.task.done {
			charged = append(charged, r)
		}
	}
	w.expired = nil
	p.observeCrash(now, queues)
	for _, r := range charged {
		if r.task.job().isTerminal() {
			continue
		}
		onTrial := r.task.crashes.suspected && !r.isCleared()
		p.chargeRun(now, r)
		// The other tasks of the job need no trial of their own, since they would fail with it.
		c := &r.task.crashes
		convicted := onTrial && c.convicts(len(unsettled) == 1, len(uncleared) == 1)
		if convicted || c.workers >= giveUpCrashes && c.total() >= maxCrashes {
			p.giveUp(now, r)
		}
	}
}

// convicts reports whether the end of a trial by a crash of the worker is enough to give up the task. strict means that
// nothing but settled runs was beside it, alone that nothing but cleared runs was.
func (c *crashHistory) convicts(strict, alone bool) bool {
	return strict && (c.workers >= giveUpCrashes || c.total() >= maxCrashes) || alone && c.workers >= weakGiveUpCrashes
}

// chargeRun adds the crash of its worker to the history of the run's task.
func (p *Pool) chargeRun(now time.Time, r *run) {
	t := r.task
	c := &t.crashes
	if t.step.spec.GetPersistent() && r.isSettled() {
		// The task has run well since any earlier crash.
		*c = crashHistory{givenUp: c.givenUp}
		return
	}
	r.charged = true
	c.onTrial = false
	switch {
	case r.isCleared():
		c.beside++
	case r.hasBegun():
		c.workers++
	default:
		c.unanswered++
	}
	c.suspected = c.suspected || !r.isCleared() || c.beside >= besideSuspectCrashes
	c.after = max(c.after, r.lasted())
	p.markUrgent(now, t.job())
	p.addCrashDecision(DecisionCharged, r)
}

// withdrawCharge takes back the charge of a run whose start was certainly not sent.
func (r *run) withdrawCharge() {
	if r.charged && r.task != nil {
		r.charged = false
		r.task.crashes.unanswered--
	}
}

// giveUp fails the job of a task that crashes its workers. A persistent task is given up alone, since the others of its job
// are in use.
func (p *Pool) giveUp(now time.Time, r *run) {
	p.addCrashDecision(DecisionGivenUp, r)
	if r.task.step.spec.GetPersistent() {
		r.task.crashes.givenUp, r.task.crashes.suspected = true, false
		return
	}
	p.failJob(now, r.task.job(), "a task crashed the workers that started it", 0)
}
