package jobfront

import (
	"context"
	"sync"
	"time"

	"github.com/agateturn/agateturn/queue"
)

const (
	// pendingFresh is the age up to which a count serves without asking.
	pendingFresh = 500 * time.Millisecond
	// pendingOldest is the age up to which a count serves when the owner cannot be asked.
	pendingOldest = 2 * time.Second
	// pendingLimit bounds the queues whose counts are kept.
	pendingLimit = 4096
)

// pendingCounts keeps the last count of each queue.
type pendingCounts struct {
	owners Owners

	mu     sync.Mutex
	counts map[pendingKey]*pendingCount
}

type pendingKey struct {
	pool, queue string
}

// pendingCount is one queue's count. asked was taken before the owner was asked, so a count is never older than it says.
type pendingCount struct {
	n     int64
	asked time.Time
	// asking is closed when the question under way has ended; nil if there is none.
	asking chan struct{}
}

func newPendingCounts(owners Owners) *pendingCounts {
	return &pendingCounts{owners: owners, counts: map[pendingKey]*pendingCount{}}
}

// get returns the count; ok is false if there is none that is new enough.
func (p *pendingCounts) get(ctx context.Context, q *queue.Queue) (n int64, ok bool) {
	key := pendingKey{pool: q.Pool, queue: q.Name}
	n, ok, asking := p.begin(key) //nolint:contextcheck // one question serves many askers, so none of them may end it
	if ok {
		return n, true
	}
	select {
	case <-asking:
	case <-ctx.Done():
	}
	return p.last(key)
}

// begin returns a fresh count, or the question to wait for.
func (p *pendingCounts) begin(key pendingKey) (n int64, ok bool, asking chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts[key]
	if c == nil {
		if len(p.counts) >= pendingLimit {
			clear(p.counts)
		}
		c = &pendingCount{}
		p.counts[key] = c
	}
	if !c.asked.IsZero() && age(time.Now(), c.asked) <= pendingFresh {
		return c.n, true, nil
	}
	if c.asking == nil {
		c.asking = make(chan struct{})
		go p.ask(key, c)
	}
	return 0, false, c.asking
}

// ask asks the owner once for all that wait.
func (p *pendingCounts) ask(key pendingKey, c *pendingCount) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	asked := time.Now()
	n, err := p.owners.Pending(ctx, key.pool, key.queue)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		c.n, c.asked = n, asked
	}
	close(c.asking)
	c.asking = nil
}

func (p *pendingCounts) last(key pendingKey) (int64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.counts[key]
	if c == nil || c.asked.IsZero() || age(time.Now(), c.asked) > pendingOldest {
		return 0, false
	}
	return c.n, true
}

// age is the longer of what the steady clock and the time of day say: the steady clock stops while the host is
// suspended.
func age(now, since time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
