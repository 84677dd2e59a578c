package jobfront

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agateturn/agateturn/internal/limitlisten"
	"github.com/agateturn/agateturn/queue"
)

const (
	// headerTimeoutSentinel and idleTimeoutSentinel are the timeouts set on the server. No connection waits that long:
	// SetReadDeadline recognises them by their length and applies the current limits instead, which may change while the
	// server runs.
	headerTimeoutSentinel = 24 * time.Hour
	idleTimeoutSentinel   = 48 * time.Hour

	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// writeTimeout bounds how long a caller may leave a response unread.
	writeTimeout = 10 * time.Second

	// maxHeaderBytes bounds headers regardless of the table's limits.
	maxHeaderBytes = 256 << 10
	// defaultMaxConnections applies if Options.MaxConnections is not set.
	defaultMaxConnections = 1024

	// drainTimeout bounds the wait for idle connections to end; drainPollInterval is how often they are counted.
	drainTimeout      = 300 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond

	// drainHeaderTimeout is how long a header may take during a drain.
	drainHeaderTimeout = time.Second

	// overLimitResponse is sent on a connection beyond the limit, and to a request whose header does not fit into the memory for
	// headers. headerTooLargeResponse is sent while a header arrives that exceeds the limit.
	overLimitResponse      = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	headerTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

func newServer(handler http.Handler, conns *connections, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeoutSentinel,
		IdleTimeout:       idleTimeoutSentinel,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         conns.track,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug), // mostly errors of callers
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	return server
}

// connections tracks the open connections of callers.
type connections struct {
	limits func() queue.Limits

	mu sync.Mutex
	// idle are the connections without a request, including new ones.
	idle     map[net.Conn]struct{}
	listener net.Listener
	// draining means that the listener and connections without a request are closed.
	draining bool
}

func newConnections(limits func() queue.Limits) *connections {
	return &connections{limits: limits, idle: map[net.Conn]struct{}{}}
}

// listen returns the listener of the callers' server. guard wraps it below the connections of this package.
func (c *connections) listen(inner *net.TCPListener, limit int, guard func(net.Listener) net.Listener) net.Listener {
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := guard(limitlisten.New(inner, limit, []byte(overLimitResponse)))
	c.listener = &listener{Listener: limited, conns: c, close: sync.OnceValue(limited.Close)}
	if c.draining {
		_ = c.listener.Close()
	}
	return c.listener
}

func (c *connections) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// track implements http.Server.ConnState; it keeps the set of idle connections.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// drain closes the listener and ends the idle connections by expiring their read deadlines. Closing them instead might
// cut off a request that has begun to arrive; this way it is still read and answered. drain returns when no idle
// connection is left, or after drainTimeout.
func (c *connections) drain(ctx context.Context) {
	if c.expireIdle() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for c.idleCount() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// expireIdle ends the idle connections and returns their number.
func (c *connections) expireIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.listener != nil {
		_ = c.listener.Close()
	}
	for conn := range c.idle {
		_ = conn.(*callerConn).Conn.SetReadDeadline(time.Now())
	}
	return len(c.idle)
}

func (c *connections) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// readTimeout returns how long a connection may wait for the next request, or for the rest of its header. left is the
// time to a deadline set from a sentinel; it exceeds headerTimeoutSentinel if that was idleTimeoutSentinel.
func (c *connections) readTimeout(left time.Duration) time.Duration {
	limits := c.limits()
	draining := c.isDraining()
	switch {
	case left > headerTimeoutSentinel && draining:
		return 0
	case left > headerTimeoutSentinel:
		return cmp.Or(limits.IdleTimeout, defaultIdleTimeout)
	case draining:
		return drainHeaderTimeout
	default:
		return cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)
	}
}

type listener struct {
	net.Listener
	conns *connections
	close func() error
}

// Close implements net.Listener. It may be called repeatedly: the server closes its listener again when it stops.
func (l *listener) Close() error { return l.close() }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: inner, conns: l.conns}, nil
}

type callerConn struct {
	net.Conn
	conns *connections
}

// NetConn returns the connection that this one wraps.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// SetReadDeadline implements net.Conn. A deadline set from a sentinel is replaced by that of the current limits.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if left := t.Sub(now); !t.IsZero() && left > headerTimeoutSentinel/2 {
		t = now.Add(c.conns.readTimeout(left))
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
