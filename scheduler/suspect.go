package scheduler

import (
	"slices"
	"time"
)

const (
	// blameJobs distinct jobs that fail on a worker in a row within blameWindow make it suspect.
	blameJobs   = 2
	blameWindow = 5 * time.Second
	// quickFailure is how early a persistent run has to fail to count against its worker.
	quickFailure = 2 * time.Second
	// poisonWorkers is on how many workers a job without any success may fail before only the job is blamed.
	poisonWorkers = 2
	// A lifetime that ends within flapWindow of the one before makes its worker suspect.
	flapWindow = 6 * time.Second
	// firstSuspicion is how long a worker is avoided at first; it doubles up to maxStrikes times.
	firstSuspicion = 2 * time.Second
	maxStrikes     = 3
	// slowRatio times the expected duration over slowSamples runs makes a worker slow.
	// aloneRatio holds as long as no task of the step was seen on another worker: the estimate may be wrong.
	slowRatio   = 2.5
	aloneRatio  = 5
	slowSamples = 3
	slowRate    = 0.3
	// A batch run without progress for stallShare of its expected duration, and stallMin at least, stands still.
	stallShare = 0.5
	stallMin   = 1500 * time.Millisecond
	// unsureStall times as long is waited as long as no run has been seen to get on.
	unsureStall = 4
	// stallPersistent is how long a persistent run may take to be at work.
	stallPersistent = 4 * time.Second
)

// trust is what is thought of a worker's health.
type trust struct {
	blames []blame
	// suspectUntil is until when nothing starts; probing then allows one run at a time until one succeeds.
	suspectUntil time.Time
	probing      bool
	probe        *run
	strikes      int
	// restartedAt is when the last lifetime ended other than as planned.
	restartedAt time.Time
	// slow is the duration of runs against what was expected.
	slow mean
}

// blame is a failure that may be the worker's fault.
type blame struct {
	job string
	at  time.Time
}

// suspected tells whether nothing may start here for now.
func (t *trust) suspected(now time.Time) bool {
	if now.Before(t.suspectUntil) {
		return true
	}
	if !t.probing || t.probe == nil || t.probe.state == runOver {
		return false
	}
	if t.probe.state == runRunning && !t.probe.stopping && now.Sub(t.probe.seenAt) > quickFailure {
		t.probing = false
		return false
	}
	return true
}

// suspect avoids the worker for a while, longer each time.
func (p *Pool) suspect(now time.Time, w *worker, reason string) {
	t := &w.trust
	t.suspectUntil = now.Add(firstSuspicion << min(t.strikes, maxStrikes))
	t.strikes++
	t.probing = true
	t.probe = nil
	t.blames = nil
	t.slow = mean{}
	p.out.Decisions = append(p.out.Decisions, Decision{Kind: "suspect", Worker: w.ID, Reason: reason})
}

// noteRestart takes note of a lifetime that ended other than as planned.
func (p *Pool) noteRestart(now time.Time, w *worker) {
	t := &w.trust
	again := !t.restartedAt.IsZero() && now.Sub(t.restartedAt) < flapWindow
	t.restartedAt = now
	if again {
		p.suspect(now, w, "goes down and up")
	}
}

// judge learns about the worker from the end of a run.
func (p *Pool) judge(now time.Time, r *run, end RunEnd) {
	t := &r.worker.trust
	switch end {
	case EndSucceeded:
		t.blames = nil
		if now.Before(t.suspectUntil) || p.judgeSpeed(now, r, now.Sub(r.orderedAt)) {
			return
		}
		t.probing = false
		t.strikes = 0
	case EndFailed:
		p.blame(now, r)
	default:
	}
}

func (p *Pool) blame(now time.Time, r *run) {
	j := r.task.job()
	t := &r.worker.trust
	if r.task.step.spec.GetPersistent() && now.Sub(r.orderedAt) > quickFailure {
		return
	}
	j.failedOn[r.worker.ID] = true
	if !j.anyDone && len(j.failedOn) > poisonWorkers {
		return
	}
	if t.probing {
		p.suspect(now, r.worker, "failed while probed")
		return
	}
	t.blames = slices.DeleteFunc(t.blames, func(b blame) bool {
		return b.job == j.id || now.Sub(b.at) > blameWindow
	})
	t.blames = append(t.blames, blame{j.id, now})
	if len(t.blames) >= blameJobs {
		p.suspect(now, r.worker, "distinct jobs failed")
	}
}

// judgeSpeed compares how long a run took, or would take, with what was expected, and tells whether the worker is slow.
func (p *Pool) judgeSpeed(now time.Time, r *run, took time.Duration) bool {
	s := r.task.step
	if r.orderedAt.IsZero() || r.resumed || s.spec.GetPersistent() || s.spec.GetFills() || s.spec.GetGang() || s.expected <= 0 {
		return false
	}
	if s.wrongRack(r.worker) || now.Before(r.worker.trust.suspectUntil) {
		return false
	}
	reference, limit := s.expected, float64(aloneRatio)
	if best, seen := s.quickest.elsewhere(r.worker); seen {
		reference, limit = max(reference, best), slowRatio
	}
	s.quickest.note(r.worker, took)
	t := &r.worker.trust
	ratio := float64(took) / float64(reference)
	t.slow.count++
	rate := max(slowRate, 1/float64(t.slow.count))
	t.slow.value += rate * (ratio - t.slow.value)
	if min(ratio, t.slow.value) <= limit || (t.slow.count < slowSamples && !t.probing) {
		return false
	}
	ratio = t.slow.value
	p.suspect(now, r.worker, "slow")
	p.flee(now, r.worker, ratio)
	return true
}

// quickest keeps the shortest durations of a step's tasks on two workers: their estimate may be wrong for all of them.
type quickest [2]struct {
	worker *worker
	took   time.Duration
}

// elsewhere is the shortest duration on another worker.
func (q *quickest) elsewhere(w *worker) (time.Duration, bool) {
	for _, e := range q {
		if e.worker != nil && e.worker != w {
			return e.took, true
		}
	}
	return 0, false
}

// note takes in the duration of one more task. The first entry is the shorter one, of another worker than the second.
func (q *quickest) note(w *worker, took time.Duration) {
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

// flee restarts elsewhere the runs that would take much longer on a slow worker.
func (p *Pool) flee(now time.Time, w *worker, ratio float64) {
	const (
		full   = 100
		factor = 1.5
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
		left := ratio * float64(full-r.percent) / full
		if left < factor || !p.roomElsewhere(now, r, usable) {
			continue
		}
		r.task.stalls++
		p.stop(now, r, "slow worker")
	}
}

// learnPercent follows the progress of a run.
func (p *Pool) learnPercent(now time.Time, r *run, percent int) {
	const (
		full    = 100
		telling = 10
	)
	if r.task == nil || r.task.step.spec.GetPersistent() || percent <= r.percent || percent >= full {
		return
	}
	if r.percent > 0 {
		p.learned.moves = true
	}
	if percent-r.judgedAt < telling || r.seenAt.IsZero() {
		return
	}
	if r.judgedAt > 0 {
		took := now.Sub(r.judgedTime)
		p.judgeSpeed(now, r, took*full/time.Duration(percent-r.judgedAt))
	}
	r.judgedAt = percent
	r.judgedTime = now
}

// checkStall restarts a run elsewhere that does not get on.
func (p *Pool) checkStall(now time.Time, r *run) {
	const full = 100
	t := r.task
	if t == nil || r.stopping || r.percent >= full || r.pace < fullPace {
		return
	}
	limit := max(stallMin, time.Duration(stallShare*float64(t.step.expected)))
	if t.step.spec.GetPersistent() {
		limit = stallPersistent
	}
	if !p.learned.moves {
		limit = unsureStall * limit
	}
	if t.step.spec.GetGang() {
		limit += p.cfg.GangTime
	}
	if r.resumed {
		limit += p.cfg.RestoreTime
	}
	if now.Sub(r.percentAt) < limit<<min(t.stalls, maxStrikes) {
		return
	}
	t.stalls++
	if len(t.failedOn) < maxFailedOn {
		t.failedOn = append(t.failedOn, r.worker.ID)
	}
	p.suspect(now, r.worker, "runs stand still")
	p.stop(now, r, "no progress")
}
