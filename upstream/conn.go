package upstream

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

var (
	errSealed     = errors.New("the exchange has ended")
	errInterim    = errors.New("too many 1xx answers")
	errSecondDial = errors.New("the exchange has had its one connection")
)

// exchange is the send state of one request. It determines whether any byte of the request can have reached the worker.
//
// The transport writes from its own goroutine, which may outlive RoundTrip. NotRun is therefore returned only after seal,
// which forbids all later writes.
type exchange struct {
	beforeSend func() error

	mu      sync.Mutex
	checked bool // beforeSend allowed the first write
	sealed  bool
	sent    bool // a write has started, and has not failed without accepting a byte
	written int  // bytes accepted by writes
	conn    *conn
	interim int // 1xx responses before the final one
}

// maxInterim is the largest number of 1xx responses accepted before the final one.
const maxInterim = 5

type exchangeKey struct{}

// context returns a copy of ctx that carries the exchange.
func (ex *exchange) context(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, exchangeKey{}, ex)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{Got1xxResponse: ex.gotInterim})
}

// gotInterim counts a 1xx response and returns an error beyond maxInterim.
func (ex *exchange) gotInterim(int, textproto.MIMEHeader) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.interim++
	if ex.interim > maxInterim {
		return errInterim
	}
	return nil
}

// seal forbids all further writes and reports whether one has already started.
func (ex *exchange) seal() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.sealed = true
	return ex.sent
}

// begin is called before each write. Before the first one it runs the beforeSend check.
func (ex *exchange) begin() error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.sealed {
		return errSealed
	}
	if !ex.checked {
		if err := ex.beforeSend(); err != nil {
			ex.sealed = true
			return err
		}
		ex.checked = true
	}
	ex.sent = true
	return nil
}

// wrote is called after each write with its result.
func (ex *exchange) wrote(n int, err error) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.written += n
	if err != nil && ex.written == 0 {
		ex.sent = false
		ex.sealed = true
	}
}

// attach makes c the exchange's only connection.
func (ex *exchange) attach(c *conn) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.sealed {
		return errSealed
	}
	if ex.conn != nil {
		return errSecondDial
	}
	ex.conn = c
	return nil
}

// close seals the exchange and closes its connection, if any.
func (ex *exchange) close() {
	ex.mu.Lock()
	ex.sealed = true
	c := ex.conn
	ex.mu.Unlock()
	if c != nil {
		_ = c.Conn.Close()
	}
}

// dial opens the only connection of the exchange that ctx carries.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ex, ok := ctx.Value(exchangeKey{}).(*exchange)
	if !ok {
		return nil, errors.New("dial outside an exchange")
	}
	raw, err := c.dialRaw(ctx, network, address)
	if err != nil {
		return nil, err
	}
	wrapped := &conn{Conn: raw, ex: ex}
	if err := ex.attach(wrapped); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return wrapped, nil
}

// conn is the connection of one exchange. Its Close only ends the transport's use of it; exchange.close closes the
// underlying connection, after the check for surplus bytes.
type conn struct {
	net.Conn
	ex *exchange
	// idle is the read timeout in nanoseconds; 0 for none.
	idle atomic.Int64

	mu     sync.Mutex
	closed bool
	tail   tail
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.ex.begin(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.ex.wrote(n, err)
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.setNextReadDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tail.add(p[:n])
	return n, err
}

// setNextReadDeadline sets the deadline of the next read.
func (c *conn) setNextReadDeadline() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if idle := c.idle.Load(); idle > 0 {
		return c.SetReadDeadline(time.Now().Add(time.Duration(idle)))
	}
	return nil
}

// Close implements net.Conn. It interrupts a blocked read.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.SetDeadline(time.Unix(1, 0))
}

// limitIdle sets a timeout for each read from now on. It does nothing if idle is not positive.
func (c *conn) limitIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle <= 0 || c.closed {
		return
	}
	c.idle.Store(int64(idle))
	// The deadline also applies to a read that is already blocked.
	_ = c.SetReadDeadline(time.Now().Add(idle))
}
