// Package intake bounds the memory that the headers of arriving requests use on all connections of a listener together.
//
// A parsed header uses several times its size on the wire, mostly for each of its lines. So a header is charged to a budget by what it
// will use, while it arrives and before it is parsed, until its request has been answered.
package intake

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/agateturn/agateturn/internal/bodies"
)

const (
	// lineBytes is the memory that a line of a header uses besides its text: an entry of a map, a slice and two strings.
	lineBytes = 128
	// freeBytes is the memory of a header that is not charged: the headers of ordinary requests are never rejected for want of budget,
	// as their number is bounded by that of the connections.
	freeBytes = 6 << 10
	// chargeStep is the smallest charge.
	chargeStep = 4 << 10
	// rejectTime bounds the time to send a rejection and to discard what the client still sends. Closing a socket with unread input
	// resets the connection and discards the answer.
	rejectTime = 250 * time.Millisecond
)

// Options configure the intake of one listener.
type Options struct {
	// Budget is charged for headers. Its limit is the memory that they may use.
	Budget *bodies.Budget
	// MaxHeaderBytes returns the size in bytes from which a header is rejected while it arrives; nil leaves that to the server.
	MaxHeaderBytes func() int
	// Full and TooLarge are complete answers to requests whose headers do not fit into the budget or are too large.
	Full, TooLarge string
	// RejectFull answers a request whose header does not fit into the budget once it is parsed.
	RejectFull http.HandlerFunc
}

// Listen returns a listener for the server, which must serve no other one, and sets the server's hooks. It is called before Serve.
func Listen(inner net.Listener, server *http.Server, o Options) net.Listener {
	l := &listener{Listener: inner, options: o}
	l.attach(server)
	return l
}

type listener struct {
	net.Listener
	options Options
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, options: &l.options, inHeader: true}, nil
}

var errRejected = errors.New("the request was rejected while its header arrived")

// conn charges what arrives while a header is awaited.
type conn struct {
	net.Conn
	options *Options

	mu sync.Mutex
	// inHeader means that the next bytes belong to a header, of which size bytes in lines lines have arrived.
	inHeader    bool
	size, lines int64
	// begun means that a line with text has arrived, midLine that the last line has arrived in part.
	begun, midLine bool
	charged        int64
	closed         bool
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if rejection := c.observe(data[:n]); rejection != "" {
		c.reject(rejection)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errRejected} // a server answers no such error
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.release()
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the output, as a server does after a rejection, if the wrapped connection can.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// observe charges arrived bytes and returns the answer with which to reject them, if any.
func (c *conn) observe(data []byte) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || len(data) == 0 {
		return ""
	}
	c.count(data)
	if c.options.MaxHeaderBytes != nil && c.size > int64(c.options.MaxHeaderBytes()) {
		return c.options.TooLarge
	}
	if !c.charge(c.size + c.lines*lineBytes) {
		return c.options.Full
	}
	return ""
}

// count counts the bytes and the lines up to the end of the header. What follows belongs to a body or to the next request.
func (c *conn) count(data []byte) {
	for len(data) > 0 {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			c.size += int64(len(data))
			c.midLine = true
			return
		}
		blank := !c.midLine && len(bytes.TrimSuffix(data[:end], []byte{'\r'})) == 0
		c.size += int64(end + 1)
		c.lines++
		c.midLine = false
		if blank && c.begun {
			c.inHeader = false
			return
		}
		c.begun = c.begun || !blank
		data = data[end+1:]
	}
}

// charge raises the charge to the memory that the header uses. It reports false if the budget does not permit that.
func (c *conn) charge(used int64) bool {
	if used <= freeBytes || used <= c.charged {
		return true
	}
	more := used - c.charged
	more += (chargeStep - more%chargeStep) % chargeStep
	if c.closed || !c.options.Budget.Take(more) {
		return false
	}
	c.charged += more
	return true
}

func (c *conn) release() {
	if c.charged > 0 {
		c.options.Budget.Release(c.charged)
	}
	c.charged = 0
}

// beginHeader is called when the connection waits for the next request.
func (c *conn) beginHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader, c.size, c.lines, c.begun, c.midLine = true, 0, 0, false, false
	c.release()
}

// stopCounting is called when the server has read the header, before it reads on in the background.
func (c *conn) stopCounting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
}

// endHeader is called once the header has been parsed, and charges what the parsed header uses: it may have arrived with the request
// before it. It reports false if the budget does not permit that.
func (c *conn) endHeader(r *http.Request) bool {
	used := parsedBytes(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
	if used <= freeBytes {
		c.release()
		return true
	}
	return c.charge(used)
}

// parsedBytes estimates the memory that a parsed header uses.
func parsedBytes(r *http.Request) int64 {
	used := len(r.RequestURI)
	for name, values := range r.Header {
		used += len(name)
		for _, value := range values {
			used += len(value) + lineBytes
		}
	}
	return int64(used)
}

// reject sends an answer and discards what the client still sends for a short time.
func (c *conn) reject(answer string) {
	c.mu.Lock()
	c.release()
	c.mu.Unlock()
	_ = c.SetDeadline(time.Now().Add(rejectTime))
	_, _ = c.Write([]byte(answer))
	_ = c.CloseWrite()
	var input [512]byte
	for {
		if _, err := c.Conn.Read(input[:]); err != nil {
			return
		}
	}
}
