package scheduler

import (
	"slices"
	"time"
)

const (
	// A worker becomes suspect when tasks of suspectJobThreshold distinct jobs fail on it within failureWindow, without a
	// success in between.
	suspectJobThreshold = 2
	failureWindow       = 5 * time.Second
	// A failure of a persistent run counts against its worker only within earlyFailureAge of the start. A probe run that
	// lasts longer clears its worker.
	earlyFailureAge = 2 * time.Second
	// maxUnprovenJobWorkers is the number of workers on which a job without any success may fail, or a task may stand
	// still, before only the job or the task is blamed.
	maxUnprovenJobWorkers = 2
	// An incarnation that ends within flapWindow of the previous one makes its worker suspect.
	flapWindow = 6 * time.Second
	// baseSuspicion is how long a worker is avoided at first. The time doubles with each suspicion, and the stall limit
	// of a task with each stall, up to maxBackoffDoublings times.
	baseSuspicion       = 2 * time.Second
	maxBackoffDoublings = 3
	// A worker is slow when its runs take slowRatio times the expected duration over slowSamples runs.
	// singleWorkerSlowRatio applies while no task of the step has been observed on another worker, since the estimate
	// may be wrong.
	slowRatio             = 2.5
	singleWorkerSlowRatio = 5
	slowSamples           = 3
	slowAverageRate       = 0.3
	// A batch run is stalled without progress for stallRatio of its expected duration, and for at least minStallTime.
	stallRatio   = 0.5
	minStallTime = 1500 * time.Millisecond
	// Until any run has been seen to progress, the stall limit is multiplied by unknownProgressFactor.
	unknownProgressFactor = 4
	// maxPersistentStartup is how long a persistent run may take to become fully available.
	maxPersistentStartup = 4 * time.Second
)

// workerHealth tracks failures, suspicions and the relative speed of a worker.
type workerHealth struct {
	failures []failureRecord
	// Nothing starts before suspectUntil. After that, probing allows one run at a time until one succeeds.
	suspectUntil time.Time
	probing      bool
	probe        *run
	suspicions   int
	// restartedAt is when the last incarnation ended unexpectedly.
	restartedAt time.Time
	// slowness is the moving average of run durations relative to what was expected.
	slowness movingAverage
}

// failureRecord is a failure that may be the worker's fault.
type failureRecord struct {
	job string
	at  time.Time
}

// suspected reports whether nothing may start on the worker for now. It ends probing once the probe run has lasted long
// enough.
func (t *workerHealth) suspected(now time.Time) bool {
	if now.Before(t.suspectUntil) {
		return true
	}
	if !t.probing || t.probe == nil || t.probe.state == runOver {
		return false
	}
	if t.probe.state == runRunning && !t.probe.stopping && now.Sub(t.probe.runningSince) > earlyFailureAge {
		t.probing = false
		return false
	}
	return true
}

// markSuspect avoids the worker for a while, longer each time.
func (p *Pool) markSuspect(now time.Time, w *worker, reason string) {
	t := &w.health
	t.suspectUntil = now.Add(baseSuspicion << min(t.suspicions, maxBackoffDoublings))
	t.suspicions++
	t.probing = true
	t.probe = nil
	t.failures = nil
	t.slowness = movingAverage{}
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: "suspect", Worker: w.ID, Reason: reason})
}

// recordRestart records an incarnation that ended unexpectedly.
func (p *Pool) recordRestart(now time.Time, w *worker) {
	t := &w.health
	repeated := !t.restartedAt.IsZero() && now.Sub(t.restartedAt) < flapWindow
	t.restartedAt = now
	if repeated {
		p.markSuspect(now, w, "restarts repeatedly")
	}
}

// updateHealth updates the health of the worker from the end of a run.
func (p *Pool) updateHealth(now time.Time, r *run, end RunEnd) {
	t := &r.worker.health
	switch end {
	case EndSucceeded:
		t.failures = nil
		if now.Before(t.suspectUntil) || p.checkSpeed(now, r, now.Sub(r.orderedAt)) {
			return
		}
		t.probing = false
		t.suspicions = 0
	case EndFailed:
		p.recordFailure(now, r)
	default:
	}
}

func (p *Pool) recordFailure(now time.Time, r *run) {
	j := r.task.job()
	t := &r.worker.health
	if r.task.step.spec.GetPersistent() && now.Sub(r.orderedAt) > earlyFailureAge {
		return
	}
	j.failedOn[r.worker.ID] = true
	if !j.anySucceeded && len(j.failedOn) > maxUnprovenJobWorkers {
		return
	}
	if t.probing {
		p.markSuspect(now, r.worker, "probe run failed")
		return
	}
	t.failures = slices.DeleteFunc(t.failures, func(b failureRecord) bool {
		return b.job == j.id || now.Sub(b.at) > failureWindow
	})
	t.failures = append(t.failures, failureRecord{j.id, now})
	if len(t.failures) >= suspectJobThreshold {
		p.markSuspect(now, r.worker, "tasks of distinct jobs failed")
	}
}

// checkSpeed compares how long a run took, or would take, with its expected duration and reports whether the worker
// is slow. A slow worker becomes suspect, and runs that would take much longer there are moved.
func (p *Pool) checkSpeed(now time.Time, r *run, took time.Duration) bool {
	s := r.task.step
	if r.orderedAt.IsZero() || r.resumed || s.spec.GetPersistent() || s.spec.GetFills() || s.spec.GetGang() || s.expected <= 0 {
		return false
	}
	if s.wrongRack(r.worker) || now.Before(r.worker.health.suspectUntil) {
		return false
	}
	reference, limit := s.expected, float64(singleWorkerSlowRatio)
	if best, seen := s.fastest.onOtherWorker(r.worker); seen {
		reference, limit = max(reference, best), slowRatio
	}
	s.fastest.add(r.worker, took)
	t := &r.worker.health
	ratio := float64(took) / float64(reference)
	t.slowness.count++
	rate := max(slowAverageRate, 1/float64(t.slowness.count))
	t.slowness.value += rate * (ratio - t.slowness.value)
	if min(ratio, t.slowness.value) <= limit || (t.slowness.count < slowSamples && !t.probing) {
		return false
	}
	ratio = t.slowness.value
	p.markSuspect(now, r.worker, "slow")
	p.moveFromSlowWorker(now, r.worker, ratio)
	return true
}

// fastestRuns holds the shortest durations of a step's tasks on two workers, since the estimate may be wrong for all
// of them.
type fastestRuns [2]struct {
	worker *worker
	took   time.Duration
}

// onOtherWorker returns the shortest duration on another worker.
func (q *fastestRuns) onOtherWorker(w *worker) (time.Duration, bool) {
	for _, e := range q {
		if e.worker != nil && e.worker != w {
			return e.took, true
		}
	}
	return 0, false
}

// add adds the duration of one more task. The first entry is the shortest, and the second entry belongs to another
// worker.
func (q *fastestRuns) add(w *worker, took time.Duration) {
	switch {
	case q[0].worker == nil || q[0].worker == w && took < q[0].took:
		q[0].worker, q[0].took = w, took
	case q[0].worker == w:
	case took < q[0].took:
		q[1] = q[0]
		q[0].worker, q[0].took = w, took
	case q[1].worker == nil || took < q[1].took:
		q[1].worker, q[1].took = w, took
	}
}

// moveFromSlowWorker restarts elsewhere the runs that would take much longer on a slow worker.
func (p *Pool) moveFromSlowWorker(now time.Time, w *worker, ratio float64) {
	const (
		fullPercent     = 100
		minRelativeTime = 1.5
	)
	usable := p.usableWorkers(now)
	for _, r := range w.runs {
		if r.task == nil || r.state != runRunning || r.stopping || r.task.stalls > 0 {
			continue
		}
		s := r.task.step
		if s.spec.GetPersistent() || s.spec.GetGang() || s.spec.GetFills() || len(r.task.runs) > 1 {
			continue
		}
		remaining := ratio * float64(fullPercent-r.percent) / fullPercent
		if remaining < minRelativeTime || !p.hasRoomElsewhere(now, r, usable) {
			continue
		}
		r.task.stalls++
		p.stop(now, r, "slow worker")
	}
}

// learnPercent tracks the progress of a run.
func (p *Pool) learnPercent(now time.Time, r *run, percent int) {
	const (
		fullPercent     = 100
		minPercentDelta = 10
	)
	if r.task == nil || r.task.step.spec.GetPersistent() || percent <= r.percent || percent >= fullPercent {
		return
	}
	if r.percent > 0 {
		p.learned.progressMoves = true
	}
	if percent-r.speedBasePercent < minPercentDelta || r.runningSince.IsZero() {
		return
	}
	if r.speedBasePercent > 0 {
		took := now.Sub(r.speedBaseTime)
		p.checkSpeed(now, r, took*fullPercent/time.Duration(percent-r.speedBasePercent))
	}
	r.speedBasePercent = percent
	r.speedBaseTime = now
}

// checkStall stops a run that makes no progress, so that its task restarts, preferably on another worker.
func (p *Pool) checkStall(now time.Time, r *run) {
	const fullPercent = 100
	t := r.task
	if t == nil || r.stopping || r.percent >= fullPercent || r.pace < fullPacePercent {
		return
	}
	limit := max(minStallTime, time.Duration(stallRatio*float64(t.step.expected)))
	if t.step.spec.GetPersistent() {
		limit = maxPersistentStartup
	}
	if !p.learned.progressMoves {
		limit = unknownProgressFactor * limit
	}
	if t.step.spec.GetGang() {
		limit += p.cfg.GangTime
	}
	if r.resumed {
		limit += p.cfg.RestoreTime
	}
	if r.idleFor(now) < limit<<min(t.stalls, maxBackoffDoublings) {
		return
	}
	t.stalls++
	if len(t.failedOn) < maxFailedOn {
		t.failedOn = append(t.failedOn, r.worker.ID)
	}
	if t.stalls <= maxUnprovenJobWorkers {
		p.markSuspect(now, r.worker, "run makes no progress")
	}
	p.stop(now, r, "no progress")
}
