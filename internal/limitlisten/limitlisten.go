// Package limitlisten bounds the connections that a listener holds at once, and answers those beyond the bound at once.
package limitlisten

import (
	"net"
	"sync"
	"time"
)

const (
	// lingering bounds the refused connections that are answered with patience; beyond it they are answered at once.
	lingering = 1024
	// lingerTime is how long a refused connection may stay open, for its request to come and its answer to be read.
	lingerTime = 2 * time.Second
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

// refuse answers a connection that was never handed out.
func (l *listener) refuse(inner *net.TCPConn) {
	_ = inner.SetDeadline(time.Now().Add(lingerTime))
	select {
	case l.refused <- struct{}{}:
		go func() {
			l.answer(inner)
			<-l.refused
		}()
	default:
		_, _ = inner.Write(l.refusal) // fits a new socket's buffer: it does not wait
		_ = inner.Close()
	}
}

// answer sends the refusal once the request begins to come: some clients take no answer before they have asked. Then it
// reads on for a while, because a close with unread input would destroy the answer.
func (l *listener) answer(inner *net.TCPConn) {
	defer func() { _ = inner.Close() }()
	var input [512]byte
	if _, err := inner.Read(input[:]); err != nil {
		_ = inner.SetDeadline(time.Now().Add(lingerTime)) // a silent one is told as well
	}
	_, _ = inner.Write(l.refusal)
	_ = inner.CloseWrite()
	for {
		if _, err := inner.Read(input[:]); err != nil {
			return
		}
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
