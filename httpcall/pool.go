package httpcall

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// keepAlive configures the probes that detect unresponsive idle connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// pool is the connection pool for one address. It is safe for concurrent use.
type pool struct {
	address string
	dialer  net.Dialer
	// slots holds one token for each call in progress; nil means no limit.
	slots   chan struct{}
	maxIdle int

	mu     sync.Mutex
	opened int64
	// unanswered holds the numbers of the connections whose first call is in progress, in ascending order.
	unanswered []int64
	// idle holds the idle connections, with the most recently used one at the end.
	idle   []*conn
	closed bool
}

func newPool(address string, connections int) *pool {
	p := &pool{
		address: address,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socketOptions},
		maxIdle: maxIdle,
	}
	if connections > 0 {
		p.slots = make(chan struct{}, connections)
		p.maxIdle = connections
	}
	return p
}

// acquire waits until the limit on concurrent calls allows another one.
func (p *pool) acquire(ctx context.Context, deadline time.Time) error {
	if err := ctx.Err(); err != nil || p.slots == nil {
		return err
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-timer.C:
		return context.DeadlineExceeded
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pool) release() {
	if p.slots != nil {
		<-p.slots
	}
}

// get returns an idle connection or opens one, and sets its deadline. If latest is not 0, it returns an idle one with at most that
// number, or ErrNoConnection.
func (p *pool) get(ctx context.Context, deadline time.Time, latest int64) (*conn, error) {
	for c := p.takeIdle(latest); c != nil; c = p.takeIdle(latest) {
		if c.SetDeadline(deadline) == nil && c.alive() {
			c.reused, c.answerStarted = true, false
			return c, nil
		}
		c.close()
	}
	if latest > 0 {
		return nil, ErrNoConnection
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, cause(ctx, err)
	}
	if err := opened.SetDeadline(deadline); err != nil {
		_ = opened.Close()
		return nil, err
	}
	c := &conn{Conn: opened}
	p.number(c)
	return c, nil
}

func (p *pool) number(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	c.number = p.opened
	p.unanswered = append(p.unanswered, c.number)
	c.latestKnown = p.latestKnown(c)
}

// latestKnown returns the highest number, at most that of the connection, below which no connection is in its first call.
func (p *pool) latestKnown(c *conn) int64 {
	if len(p.unanswered) > 0 && p.unanswered[0] < c.number {
		return p.unanswered[0] - 1
	}
	return c.number
}

// endFirstCall records that the first call on a connection has ended.
func (p *pool) endFirstCall(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.unanswered, c.number); i >= 0 {
		p.unanswered = slices.Delete(p.unanswered, i, i+1)
	}
}

// takeIdle returns the most recently used idle connection, whose number is at most latest unless that is 0; nil without one.
func (p *pool) takeIdle(latest int64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; latest == 0 || c.number <= latest {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.latestKnown = p.latestKnown(c)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool, or closes it if the pool is closed or full.
func (p *pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	if p.closed || len(p.idle) >= p.maxIdle || c.SetDeadline(time.Time{}) != nil {
		p.mu.Unlock()
		c.close()
		return
	}
	p.idle = append(p.idle, c)
	var old *conn
	if now.Sub(p.idle[0].idleSince) > idleTimeout {
		old = p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	p.mu.Unlock()
	if old != nil {
		old.close()
	}
}

// dropIdle closes the idle connections.
func (p *pool) dropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// close closes the idle connections. The others are closed when they are put back.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.dropIdle()
}
