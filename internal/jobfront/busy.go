package jobfront

import (
	"sync"
	"time"

	"github.com/samber/lo"

	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
)

const (
	// busyFrom is how long new jobs may wait for their owner itself.
	busyFrom = time.Second
	// maxBusy bounds the time for which an owner's word holds: it is asked with the next job that is accepted.
	maxBusy = 3 * time.Second
	// busyLimit bounds the pools that are remembered.
	busyLimit = 4096
)

// busyPools are the pools whose owners have more to order than they can for a while. It is safe for concurrent use.
type busyPools struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newBusyPools() *busyPools { return &busyPools{until: make(map[string]time.Time)} }

// note takes an owner's word on how long a new job would wait.
func (b *busyPools) note(pool string, wait time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if wait <= busyFrom {
		delete(b.until, pool)
		return
	}
	if len(b.until) >= busyLimit {
		clear(b.until)
	}
	b.until[pool] = now.Add(min(wait-busyFrom, maxBusy))
}

// left is how long new jobs of the pool are refused, 0 if they are not.
func (b *busyPools) left(pool string, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.until[pool].Sub(now))
}

// startsNow tells whether the job adds to what its owner has to order soon. Persistent tasks come first and last for long.
func startsNow(spec *pb.JobSpec) bool {
	return spec.GetStartAtMs() == 0 &&
		lo.SomeBy(spec.GetSteps(), func(s *pb.JobStep) bool { return !s.GetPersistent() })
}
