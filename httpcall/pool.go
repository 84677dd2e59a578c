package httpcall

import (
	"context"
	"net"
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

	mu sync.Mutex
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

// get returns an idle connection or opens one, and sets its deadline.
func (p *pool) get(ctx context.Context, deadline time.Time) (*conn, error) {
	for c := p.takeIdle(); c != nil; c = p.takeIdle() {
		if c.SetDeadline(deadline) == nil && c.alive() {
			c.reused, c.answerStarted = true, false
			return c, nil
		}
		c.close()
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
	return &conn{Conn: opened}, nil
}

func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
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
