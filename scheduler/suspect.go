package scheduler

import (
	"math"
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
	// slowRatio times the expected duration over the tasks of slowJobs jobs makes a worker slow.
	slowRatio = 2.5
	slowJobs  = 4
	slowRate  = 0.3
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
	slow        slowness
}

// slowness is how many times as long as expected the tasks of the newest jobs took on a worker. Each job counts once:
// an estimate is wrong for all its tasks alike.
type slowness struct {
	ratios []jobRatio
}

type jobRatio struct {
	job   string
	value float64
}

// add takes in the ratio of one more run.
func (s *slowness) add(job string, ratio float64) {
	for i := range s.ratios {
		if r := &s.ratios[i]; r.job == job {
			r.value += slowRate * (ratio - r.value)
			return
		}
	}
	if len(s.ratios) >= slowJobs {
		s.ratios = slices.Delete(s.ratios, 0, 1)
	}
	s.ratios = append(s.ratios, jobRatio{job, ratio})
}

// mean is the geometric mean over the jobs: one bad estimate does not outweigh the others.
func (s *slowness) mean() float64 {
	product := 1.0
	for _, r := range s.ratios {
		product *= r.value
	}
	return math.Pow(product, 1/float64(max(1, len(s.ratios))))
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
	t.slow = slowness{}
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
	t := &r.worker.trust
	t.slow.add(s.occ.job.id, float64(took)/float64(s.expected))
	ratio := t.slow.mean()
	if ratio <= slowRatio || (len(t.slow.ratios) < slowJobs && !t.probing) {
		return false
	}
	p.suspect(now, r.worker, "slow")
	p.flee(now, r.worker, ratio)
	return true
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
