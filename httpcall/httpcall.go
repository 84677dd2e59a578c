// Package httpcall makes HTTP/1.1 calls to a single address. If a call gets no answer, Answer.Sent reports whether the
// request can have arrived. Bodies are sent with the content type of JSON and are not interpreted.
//
// The calling goroutine itself writes the request and reads the answer. For many short calls, passing each one to the
// goroutines of its connection, as net/http does, costs more than the call.
package httpcall

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// dialTimeout is the longest time for opening a connection.
	dialTimeout = time.Second
	// unackedTimeout is the time after which a connection with unacknowledged data is closed.
	unackedTimeout = 3 * time.Second
	// idleTimeout is the time after which an unused connection is closed. It is checked when another connection becomes idle.
	idleTimeout = time.Minute
	// maxHeaderBytes is the largest size of an answer's header.
	maxHeaderBytes = 16 << 10
	// bufferBytes is the size of the read buffer of a call in progress.
	bufferBytes = 4 << 10
	// presizedBytes is the largest body for which memory is allocated before it arrives.
	presizedBytes = 64 << 10
	// maxIdle is the number of idle connections that a client without a connection limit keeps.
	maxIdle = 16
)

var (
	// ErrTooLong is returned for an answer whose body is longer than Request.Limit.
	ErrTooLong = errors.New("answer longer than allowed")
	// ErrNoConnection is returned if no connection that the call may use is open and idle.
	ErrNoConnection = errors.New("no connection as old as asked for")

	errHeaderTooLong = errors.New("header of the answer longer than allowed")
	errInterim       = errors.New("interim answers without a final one")
	errHeaderValue   = errors.New("header field with a control character")
)

// Call describes a finished call.
type Call struct {
	Name string
	Took time.Duration
	// Outcome is one of ok, refused, limited, unavailable, failed (by the answer's status), timeout, cancelled, unreachable,
	// broken.
	Outcome string
	// Sent and Received count the bytes of HTTP, including those of calls without an answer.
	Sent, Received int64
}

// Observer is called after each call. It must not block.
type Observer func(Call)

// Client makes calls to one address. It is safe for concurrent use.
type Client struct {
	address string
	observe Observer
	conns   *pool
}

// Request describes a call.
type Request struct {
	// Name identifies the kind of call in metrics.
	Name         string
	Method, Path string
	// Query is the encoded query without the question mark.
	Query string
	// Header may be nil.
	Header http.Header
	// Body may be nil.
	Body []byte
	// Timeout limits the call, including the waits for a free slot and for a connection.
	Timeout time.Duration
	// MaxTimeout, if longer than Timeout, is the time limit of the whole answer while no more than Timeout passes between two
	// reads. It allows for large answers on a slow link.
	MaxTimeout time.Duration
	// LatestConnection, if not 0, is the highest number of a connection that the call may use. It is then made on an open one or
	// not at all.
	LatestConnection int64
	// Limit is the largest body of an answer in bytes.
	Limit int
}

// Answer is the answer to a call. Status is 0 if no complete answer arrived.
type Answer struct {
	Status int
	Body   []byte
	// Connection is the highest number of a connection that surely leads to the process that answered, or to an earlier one; 0 if
	// none does. Connections are numbered as they are opened. A link may accept one and make it to the server later: another one on
	// which the first call was still in progress when this call began does not count, nor do later ones.
	Connection int64
	// Sent is false if no part of the request can have reached the server.
	Sent bool
}

// New returns a client for the address ip:port or http://ip:port. It has its own connections and makes at most the given
// number of calls at once; 0 means no limit. observe may be nil.
func New(address string, connections int, observe Observer) *Client {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Client{address: address, observe: observe, conns: newPool(address, connections)}
}

// Close closes the idle connections. Connections of calls in progress are closed when the calls end.
func (c *Client) Close() { c.conns.close() }

// Do makes a call. Its connection is not reused after an error. After a timeout the idle connections are closed too,
// because they are likely to be unresponsive as well.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	began := time.Now()
	deadline := began.Add(r.Timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	var counts byteCounts
	got, err := c.call(ctx, deadline, &r, &counts)
	if errors.Is(err, context.DeadlineExceeded) {
		c.conns.dropIdle()
	}
	if c.observe != nil {
		c.observe(Call{Name: r.Name, Took: time.Since(began), Outcome: outcome(got, err), Sent: counts.sent, Received: counts.received})
	}
	return got, err
}

// call repeats a GET request if a reused connection ends without a byte of the answer, because the server may have closed
// the connection while it was idle.
func (c *Client) call(ctx context.Context, deadline time.Time, r *Request, counts *byteCounts) (Answer, error) {
	if err := c.conns.acquire(ctx, deadline); err != nil {
		return Answer{}, err
	}
	defer c.conns.release()
	for {
		conn, err := c.conns.get(ctx, deadline, r.LatestConnection)
		if err != nil {
			return Answer{}, cause(ctx, err)
		}
		conn.byteCounts = counts
		conn.allowLonger(ctx, r)
		latest := conn.latestKnown
		got, err := c.exchange(ctx, conn, r)
		if err == nil {
			got.Connection = latest
			return got, nil
		}
		stale := conn.reused && !conn.answerStarted && !errors.Is(err, os.ErrDeadlineExceeded)
		if !stale || r.Method != http.MethodGet {
			return got, cause(ctx, err)
		}
	}
}

// exchange makes the call on a connection and then returns the connection to the pool or closes it.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request) (Answer, error) {
	stop := context.AfterFunc(ctx, conn.interrupt)
	got, keep, err := conn.roundTrip(c.address, r)
	if !conn.reused {
		c.conns.endFirstCall(conn)
	}
	if !stop() {
		keep = false
	}
	if keep {
		c.conns.put(conn)
		return got, err
	}
	conn.close()
	return got, err
}

// cause returns the context's error if there is one, and otherwise converts a connection's time-out to
// context.DeadlineExceeded.
func cause(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return context.DeadlineExceeded
	}
	return err
}

func outcome(got Answer, err error) string {
	switch {
	case err == nil:
		return statusOutcome(got.Status)
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case !got.Sent:
		return "unreachable"
	}
	return "broken"
}

func statusOutcome(status int) string {
	switch {
	case status < http.StatusMultipleChoices:
		return "ok"
	case status == http.StatusTooManyRequests:
		return "limited"
	case status == http.StatusServiceUnavailable:
		return "unavailable"
	case status < http.StatusInternalServerError:
		return "refused"
	}
	return "failed"
}

// IsRetryableStatus reports whether the status guarantees that the request had no effect and may be retried: 429 and 503.
func IsRetryableStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
