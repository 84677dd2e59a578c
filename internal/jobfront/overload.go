package jobfront

import (
	"sync"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// maxOwnerDelay is the longest accepted delay of new jobs that the owner's backlog alone causes.
	maxOwnerDelay = time.Second
	// maxShedTime bounds how long new jobs are rejected after an owner reported a delay. The next accepted job yields a
	// new report.
	maxShedTime = 3 * time.Second
	// maxOverloadedPools bounds the number of pools remembered.
	maxOverloadedPools = 4096
)

// overloadedPools are the pools whose owners have a backlog of tasks to place, so that new jobs are shed. It is safe for
// concurrent use.
type overloadedPools struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newOverloadedPools() *overloadedPools {
	return &overloadedPools{until: make(map[string]time.Time)}
}

// record records an owner's estimate of the delay of a new job.
func (p *overloadedPools) record(pool string, wait time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait <= maxOwnerDelay {
		delete(p.until, pool)
		return
	}
	if len(p.until) >= maxOverloadedPools {
		clear(p.until)
	}
	p.until[pool] = now.Add(min(wait-maxOwnerDelay, maxShedTime))
}

// remaining returns how long new jobs of the pool are still rejected; 0 if they are accepted.
func (p *overloadedPools) remaining(pool string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.until[pool].Sub(now))
}

// addsToBacklog reports whether the job adds to its owner's backlog of tasks to place now. A job with a start time does
// not, nor do persistent tasks: these are placed first and run for a long time.
func addsToBacklog(spec *pb.JobSpec) bool {
	return spec.GetStartAtMs() == 0 &&
		lo.SomeBy(spec.GetSteps(), func(s *pb.JobStep) bool { return !s.GetPersistent() })
}
