package routing

import (
	"container/list"
	"time"
)

const (
	// maxJobs bounds the failed jobs that are remembered.
	maxJobs = 4096
	// hopelessHosts is the number of hosts that serve other jobs on which a hopeless job has failed.
	hopelessHosts = 3
	// blamedHosts is the number of such hosts from which on a job's failures are held against itself.
	blamedHosts = 2
	// maxJobHosts bounds the hosts remembered for a job.
	maxJobHosts = 8
	// hopelessFor is the time for which a job is hopeless after its last failure; it doubles up to hopelessLimit.
	hopelessFor   = 30 * time.Second
	hopelessLimit = 10 * time.Minute
)

// job is one that has failed and succeeded nowhere since.
type job struct {
	digest   uint64
	failedOn []string // distinct hosts
	// retryAt is when a hopeless job may be tried again.
	retryAt time.Time
	wait    time.Duration
	element *list.Element
}

// jobs remembers the jobs that failed last.
type jobs struct {
	byDigest map[uint64]*job
	byAge    *list.List // oldest failure first
}

func newJobs() *jobs {
	return &jobs{byDigest: map[uint64]*job{}, byAge: list.New()}
}

// succeeded forgets the job's failures.
func (j *jobs) succeeded(digest uint64) {
	if known, ok := j.byDigest[digest]; ok {
		j.byAge.Remove(known.element)
		delete(j.byDigest, digest)
	}
}

// failed notes a failure of the job on the host.
func (j *jobs) failed(now time.Time, digest uint64, host string) {
	known, ok := j.byDigest[digest]
	if !ok {
		known = &job{digest: digest, wait: hopelessFor}
		known.element = j.byAge.PushBack(known)
		j.byDigest[digest] = known
	}
	j.byAge.MoveToBack(known.element)
	known.add(host)
	known.putOff(now)
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

// putOff sets the time of the next try. A failure of a try that was put off doubles the time.
func (j *job) putOff(now time.Time) {
	if !j.retryAt.IsZero() && !now.Before(j.retryAt) {
		j.wait = min(2*j.wait, hopelessLimit)
	}
	j.retryAt = now.Add(j.wait)
}

// servingFailures returns the number of hosts that the job failed on although they serve other jobs.
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

// hopeless reports whether the job is to be refused for now.
func (j *jobs) hopeless(now time.Time, digest uint64, hosts map[string]*host) bool {
	known, ok := j.byDigest[digest]
	return ok && now.Before(known.retryAt) && j.servingFailures(digest, hosts) >= hopelessHosts
}

// blamed reports whether failures of the job are its own fault rather than a host's.
func (j *jobs) blamed(digest uint64, hosts map[string]*host) bool {
	return j.servingFailures(digest, hosts) >= blamedHosts
}
