// Package limitlisten limits the number of open connections of a listener, and rejects further ones with an answer.
package limitlisten

import (
	"net"
	"sync"
	"time"
)

const (
	// maxLingering is the number of rejected connections that may stay open until their request arrives; further ones are
	// answered and closed at once.
	maxLingering = 1024
	// lingerTime is the longest time that a rejected connection waits for its request, and for its answer to be read.
	lingerTime = 2 * time.Second
)

// listener accepts at most cap(held) connections at a time.
type listener struct {
	*net.TCPListener
	refusal []byte
	held    chan struct{}
	refused chan struct{}
}

// New returns a listener with at most limit open connections. Further ones are sent the refusal, a complete answer in the
// listener's protocol, and closed; Accept does not wait for a connection to close. It is safe for concurrent use.
func New(inner *net.TCPListener, limit int, refusal []byte) net.Listener {
	return &listener{
		TCPListener: inner,
		refusal:     refusal,
		held:        make(chan struct{}, limit),
		refused:     make(chan struct{}, maxLingering),
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

// refuse rejects a connection that Accept does not return.
func (l *listener) refuse(inner *net.TCPConn) {
	_ = inner.SetDeadline(time.Now().Add(lingerTime))
	select {
	case l.refused <- struct{}{}:
		go func() {
			l.answer(inner)
			<-l.refused
		}()
	default:
		_, _ = inner.Write(l.refusal) // does not block: the refusal fits the send buffer of a new socket
		_ = inner.Close()
	}
}

// answer sends the refusal after the first bytes of the request, because some clients accept no answer before they have sent
// one. Then it drains the input until the deadline, because closing a socket with unread input resets the connection and
// discards the answer.
func (l *listener) answer(inner *net.TCPConn) {
	defer func() { _ = inner.Close() }()
	var input [512]byte
	if _, err := inner.Read(input[:]); err != nil {
		_ = inner.SetDeadline(time.Now().Add(lingerTime)) // a client that has sent nothing gets the refusal as well
	}
	_, _ = inner.Write(l.refusal)
	_ = inner.CloseWrite()
	for {
		if _, err := inner.Read(input[:]); err != nil {
			return
		}
	}
}

// conn releases its slot when it is closed.
type conn struct {
	*net.TCPConn
	release func()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.release()
	return c.TCPConn.Close()
}
