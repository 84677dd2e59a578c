package jobfront

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxFailureGap is the longest time between two failed writes of one outage.
	maxFailureGap = 6 * time.Second
	// maxOutageRetry bounds the retry delay of callers while the store fails, before retrySpread.
	maxOutageRetry = 4 * time.Second
	// retrySpread is the period over which callers return that were rejected at one time.
	retrySpread = time.Second
)

// outage tells for how long writes have failed, through peers as well. It is safe for concurrent use.
type outage struct {
	mu sync.Mutex
	// since is the time of the first write that failed since the last one that succeeded, and latest that of the latest one;
	// zero if there is none.
	since, latest time.Time
}

// record records the result of a write.
func (o *outage) record(now time.Time, succeeded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case succeeded:
		o.since, o.latest = time.Time{}, time.Time{}
		return
	case o.since.IsZero() || now.Sub(o.latest) > maxFailureGap:
		o.since = now
	}
	o.latest = now
}

// retryDelay returns when a caller whose write has failed should return. It grows with the outage, so that the few attempts of a
// caller outlast it.
func (o *outage) retryDelay() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return min(o.latest.Sub(o.since)/2, maxOutageRetry) + rand.N(retrySpread)
}
