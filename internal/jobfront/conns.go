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
	// headerMark and idleMark are the server's own timeouts. No connection waits that long: a connection recognises them
	// by their length and puts the limits in force in their place, which may change while the server runs.
	headerMark = 24 * time.Hour
	idleMark   = 48 * time.Hour

	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// writeTimeout bounds how long a caller may leave an answer unread.
	writeTimeout = 10 * time.Second

	// maxHeaderBytes bounds headers whatever the table allows.
	maxHeaderBytes = 256 << 10
	// fallbackConnections holds when the options set no bound.
	fallbackConnections = 1024

	// drainLimit bounds the wait for connections without a request to end, drainPoll is how often they are counted.
	drainLimit = 300 * time.Millisecond
	drainPoll  = 5 * time.Millisecond

	// lastHeader is how long a header may take while connections end.
	lastHeader = time.Second

	// fullAnswer answers a connection beyond the bound.
	fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

func newServer(handler http.Handler, conns *connections, log *slog.Logger) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerMark,
		IdleTimeout:       idleMark,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         conns.track,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug), // callers' faults mostly
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	return server
}

// connections are the callers' connections that are open.
type connections struct {
	limits func() queue.Limits

	mu sync.Mutex
	// waiting are the connections without a request: new ones and idle ones.
	waiting  map[net.Conn]struct{}
	listener net.Listener
	// draining means that a connection without a request is closed.
	draining bool
}

func newConnections(limits func() queue.Limits) *connections {
	return &connections{limits: limits, waiting: map[net.Conn]struct{}{}}
}

func (c *connections) listen(inner *net.TCPListener, limit int) net.Listener {
	if limit <= 0 {
		limit = fallbackConnections
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := limitlisten.New(inner, limit, []byte(fullAnswer))
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

// track keeps the connections that have no request.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.waiting[conn] = struct{}{}
		return
	}
	delete(c.waiting, conn)
}

// drain closes the listener and ends the connections that have no request, by their read deadlines: a request that has
// begun to arrive is read and answered, while closing the connection might cut it. It returns when none is left, or a
// little later.
func (c *connections) drain(ctx context.Context) {
	if c.expire() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainLimit)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for c.left() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// expire lets the waiting connections end, and returns how many there are.
func (c *connections) expire() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.listener != nil {
		_ = c.listener.Close()
	}
	for conn := range c.waiting {
		_ = conn.(*callerConn).Conn.SetReadDeadline(time.Now())
	}
	return len(c.waiting)
}

func (c *connections) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// wait is how long a connection may wait for the next request or for its header.
func (c *connections) wait(mark time.Duration) time.Duration {
	limits := c.limits()
	draining := c.isDraining()
	switch {
	case mark > headerMark && draining:
		return 0
	case mark > headerMark:
		return cmp.Or(limits.IdleTimeout, defaultIdleTimeout)
	case draining:
		return lastHeader
	default:
		return cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout)
	}
}

type listener struct {
	net.Listener
	conns *connections
	close func() error
}

// Close implements net.Listener. The server closes its listener again when it stops.
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

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if left := t.Sub(now); !t.IsZero() && left > headerMark/2 {
		t = now.Add(c.conns.wait(left))
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
