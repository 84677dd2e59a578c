package jobfront

import (
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

	maxHeaderBytes = 64 << 10
	// fallbackConnections holds when the options set no bound.
	fallbackConnections = 1024

	// fullAnswer answers a connection beyond the bound.
	fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

func newServer(handler http.Handler, conns *connections) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerMark,
		IdleTimeout:       idleMark,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         conns.track,
		Protocols:         new(http.Protocols),
	}
	server.Protocols.SetHTTP1(true)
	return server
}

// connections are the callers' connections that are open.
type connections struct {
	limits func() queue.Limits

	mu   sync.Mutex
	idle map[net.Conn]struct{}
	// draining means that a connection without a request is closed.
	draining bool
}

func newConnections(limits func() queue.Limits) *connections {
	return &connections{limits: limits, idle: map[net.Conn]struct{}{}}
}

func (c *connections) listener(inner *net.TCPListener, limit int) net.Listener {
	if limit <= 0 {
		limit = fallbackConnections
	}
	return &listener{Listener: limitlisten.New(inner, limit, []byte(fullAnswer)), conns: c}
}

// track keeps the connections that wait for their next request.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.idle[conn] = struct{}{}
		return
	}
	delete(c.idle, conn)
}

// drain ends the connections that wait for a request. One that has begun to arrive is read and answered.
func (c *connections) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	for conn := range c.idle {
		_ = conn.(*callerConn).Conn.SetReadDeadline(time.Now())
	}
}

// wait is how long a connection may wait for the next request or its header.
func (c *connections) wait(mark time.Duration) time.Duration {
	limits := c.limits()
	if mark > headerMark {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case c.draining:
			return 0
		case limits.IdleTimeout > 0:
			return limits.IdleTimeout
		default:
			return defaultIdleTimeout
		}
	}
	if limits.HeaderTimeout > 0 {
		return limits.HeaderTimeout
	}
	return defaultHeaderTimeout
}

type listener struct {
	net.Listener
	conns *connections
}

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
