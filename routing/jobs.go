package routing

import (
	"container/list"
	"time"
)

const (
	// maxJobs bounds the number of failed jobs that are remembered.
	maxJobs = 4096
	// poisonHosts is the number of hosts that serve other jobs on which a job must have failed to be a poison job.
	poisonHosts = 3
	// blamedHosts is the least number of such hosts at which failures are attributed to the job and not to the host.
	blamedHosts = 2
	// maxJobHosts bounds the number of hosts remembered for a job.
	maxJobHosts = 8
	// poisonInitialWait is the initial time for which a poison job is rejected after its last failure; it doubles up to
	// poisonMaxWait.
	poisonInitialWait = 30 * time.Second
	poisonMaxWait     = 10 * time.Minute
)

// job is a job that has failed and has not succeeded on any host since.
type job struct {
	digest   uint64
	failedOn []string // distinct hosts
	// retryAt is when a poison job may be tried again.
	retryAt time.Time
	wait    time.Duration
	element *list.Element
}

// jobs holds the jobs that failed most recently.
type jobs struct {
	byDigest map[uint64]*job
	byAge    *list.List // oldest failure first
}

func newJobs() *jobs {
	return &jobs{byDigest: map[uint64]*job{}, byAge: list.New()}
}

// succeeded removes the job's failures.
func (j *jobs) succeeded(digest uint64) {
	if known, ok := j.byDigest[digest]; ok {
		j.byAge.Remove(known.element)
		delete(j.byDigest, digest)
	}
}

// failed records a failure of the job on the host.
func (j *jobs) failed(now time.Time, digest uint64, host string) {
	known, ok := j.byDigest[digest]
	if !ok {
		known = &job{digest: digest, wait: poisonInitialWait}
		known.element = j.byAge.PushBack(known)
		j.byDigest[digest] = known
	}
	j.byAge.MoveToBack(known.element)
	known.add(host)
	known.backOff(now)
	if len(j.byDigest) > maxJobs {
		oldest := j.byAge.Remove(j.byAge.Front()).(*job)
		delete(j.byDigest, oldest.digest)
	}
}

func (j *job) add(host string) {
	for _, known := range j.failedOn {
		if known == host {
			return
		}
	}
	if len(j.failedOn) < maxJobHosts {
		j.failedOn = append(j.failedOn, host)
	}
}

// backOff sets the time of the next try. It doubles the wait if the job failed at or after the previous retryAt.
func (j *job) backOff(now time.Time) {
	if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
		j.wait = min(2*j.wait, poisonMaxWait)
	}
	j.retryAt = now.Add(j.wait)
}

// servingFailures returns the number of hosts on which the job failed and that serve other jobs.
func (j *jobs) servingFailures(digest uint64, hosts map[string]*host) int {
	known, ok := j.byDigest[digest]
	if !ok {
		return 0
	}
	count := 0
	for _, name := range known.failedOn {
		if h, ok := hosts[name]; ok && h.serves(digest) {
			count++
		}
	}
	return count
}

// isPoison reports whether the job is a poison job and must be rejected for now.
func (j *jobs) isPoison(now time.Time, digest uint64, hosts map[string]*host) bool {
	known, ok := j.byDigest[digest]
	return ok && now.Before(known.retryAt) && j.servingFailures(digest, hosts) >= poisonHosts
}

// isBlamed reports whether failures are attributed to the job and not to a host.
func (j *jobs) isBlamed(digest uint64, hosts map[string]*host) bool {
	return j.servingFailures(digest, hosts) >= blamedHosts
}
