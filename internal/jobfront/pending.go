package jobfront

import (
	"context"
	"sync"
	"time"

	"github.com/agateturn/agateturn/queue"
)

const (
	// pendingFreshFor is the age up to which a count is returned without querying the owner.
	pendingFreshFor = 500 * time.Millisecond
	// pendingMaxAge is the age up to which a count is returned if the owner does not answer in time.
	pendingMaxAge = 2 * time.Second
	// maxPendingQueues bounds the queues whose counts are cached.
	maxPendingQueues = 4096
)

// pendingCounts caches the last count of pending jobs of each queue.
type pendingCounts struct {
	owners Owners

	mu     sync.Mutex
	counts map[pendingKey]*pendingCount
}

type pendingKey struct {
	pool, queue string
}

// pendingCount is one queue's count. requestedAt is taken before the query, so that a count is never older than
// requestedAt; it is zero before the first count.
type pendingCount struct {
	n           int64
	requestedAt time.Time
	// refreshing is closed when the query in flight has ended; nil if there is none.
	refreshing chan struct{}
}

func newPendingCounts(owners Owners) *pendingCounts {
	return &pendingCounts{owners: owners, counts: map[pendingKey]*pendingCount{}}
}

// get returns the count; ok is false if there is no recent one.
func (p *pendingCounts) get(ctx context.Context, q *queue.Queue) (n int64, ok bool) {
	key := pendingKey{pool: q.Pool, queue: q.Name}
	n, ok, refreshing := p.freshOrRefresh(key) //nolint:contextcheck // a query is shared by many callers, so none of them may cancel it
	if ok {
		return n, true
	}
	select {
	case <-refreshing:
	case <-ctx.Done():
	}
	return p.cached(key)
}

// freshOrRefresh returns a fresh count, or a channel that is closed when the query for one has ended.
func (p *pendingCounts) freshOrRefresh(key pendingKey) (n int64, ok bool, refreshing chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts[key]
	if c == nil {
		if len(p.counts) >= maxPendingQueues {
			clear(p.counts)
		}
		c = &pendingCount{}
		p.counts[key] = c
	}
	if !c.requestedAt.IsZero() && age(time.Now(), c.requestedAt) <= pendingFreshFor {
		return c.n, true, nil
	}
	if c.refreshing == nil {
		c.refreshing = make(chan struct{})
		go p.refresh(key, c)
	}
	return 0, false, c.refreshing
}

// refresh queries the owner once for all waiting callers.
func (p *pendingCounts) refresh(key pendingKey, c *pendingCount) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	requestedAt := time.Now()
	n, err := p.owners.Pending(ctx, key.pool, key.queue)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		c.n, c.requestedAt = n, requestedAt
	}
	close(c.refreshing)
	c.refreshing = nil
}

func (p *pendingCounts) cached(key pendingKey) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts[key]
	if c == nil || c.requestedAt.IsZero() || age(time.Now(), c.requestedAt) > pendingMaxAge {
		return 0, false
	}
	return c.n, true
}

// age returns the longer of the intervals by the monotonic clock and by the wall clock, as the monotonic clock stops while
// the host is suspended.
func age(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
