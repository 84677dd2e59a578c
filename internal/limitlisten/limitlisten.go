// Package limitlisten bounds the connections that a listener holds at once, and answers those beyond the bound at once.
package limitlisten

import (
	"net"
	"sync"
	"time"
)

const (
	// lingering bounds the refused connections that stay open until their answer was read.
	lingering = 64
	// lingerTime is how long a refused connection stays open: a close with unread input would destroy the answer.
	lingerTime = 200 * time.Millisecond
)

// listener hands out at most cap(held) connections at once.
type listener struct {
	*net.TCPListener
	refusal []byte
	held    chan struct{}
	refused chan struct{}
}

// New returns a listener that holds at most limit connections. One beyond it is sent the refusal, a whole answer in the
// protocol of the listener, and is closed; Accept never waits for room. It is safe for concurrent use.
func New(inner *net.TCPListener, limit int, refusal []byte) net.Listener {
	return &listener{
		TCPListener: inner,
		refusal:     refusal,
		held:        make(chan struct{}, limit),
		refused:     make(chan struct{}, lingering),
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		select {
		case l.held <- struct{}{}:
			return &conn{TCPConn: inner, release: sync.OnceFunc(func() { <-l.held })}, nil
		default:
			l.refuse(inner)
		}
	}
}

// refuse answers a connection that was never handed out. The answer fits a new socket's buffer, so nothing waits.
func (l *listener) refuse(inner *net.TCPConn) {
	_ = inner.SetDeadline(time.Now().Add(lingerTime))
	_, _ = inner.Write(l.refusal)
	_ = inner.CloseWrite()
	select {
	case l.refused <- struct{}{}:
		time.AfterFunc(lingerTime, func() {
			_ = inner.Close()
			<-l.refused
		})
	default:
		_ = inner.Close()
	}
}

// conn gives its place back when it is closed.
type conn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
