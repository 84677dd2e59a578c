// Package httpcall makes HTTP/1.1 calls to one address and tells, when no answer comes, whether the request can have
// arrived. Bodies are JSON by type; what stands in them is the caller's business.
//
// The goroutine of the call itself writes the request and reads the answer: there are many short calls, and handing each
// to goroutines of the connection, as net/http does, costs more than the call.
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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// unackedTimeout ends connections on which data is not acknowledged for so long.
	unackedTimeout = 3 * time.Second
	// idleTimeout closes connections that were not used for so long, when another one is used.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
	// bufferBytes is the size of the read buffer of a connection in use.
	bufferBytes = 4 << 10
	// presizedBytes is the longest body for which memory is taken before it arrives.
	presizedBytes = 64 << 10
	// maxIdle is how many idle connections a client without a bound keeps.
	maxIdle = 16
)

var (
	// ErrTooLong is the error of an answer that is longer than Request.Limit.
	ErrTooLong = errors.New("answer longer than allowed")

	errHeaderTooLong = errors.New("header of the answer longer than allowed")
	errInterim       = errors.New("interim answers without a final one")
	errHeaderValue   = errors.New("header field with a control character")
)

// Call is a call that has ended.
type Call struct {
	Name string
	Took time.Duration
	// Outcome is one of ok, refused, limited, unavailable, failed (by the answer's status), timeout, cancelled, unreachable,
	// broken.
	Outcome string
	// Sent and Received count bytes of HTTP, also of calls without an answer.
	Sent, Received int64
}

// Observer is told of each call. It must not block.
type Observer func(Call)

// Client calls one address. It may be used concurrently.
type Client struct {
	address string
	observe Observer
	conns   *pool
}

// Request is one call.
type Request struct {
	// Name of the call in measures.
	Name         string
	Method, Path string
	// Query is encoded already.
	Query string
	// Header may be nil.
	Header http.Header
	// Body is nil for none.
	Body    []byte
	Timeout time.Duration
	// Longest, if longer than Timeout, is how long the answer may take as long as no more than Timeout passes between bytes:
	// a large one takes its time on a narrow link.
	Longest time.Duration
	// Limit bounds the body of the answer in bytes.
	Limit int
}

// Answer is what came back. Status is 0 if nothing usable did.
type Answer struct {
	Status int
	Body   []byte
	// Sent is false if the request cannot have reached the other side.
	Sent bool
}

// New returns a client of ip:port or http://ip:port with connections of its own, at most so many at once; 0 means no
// bound. observe may be nil.
func New(address string, connections int, observe Observer) *Client {
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Client{address: address, observe: observe, conns: newPool(address, connections)}
}

// Close drops idle connections, and those of calls under way when they end.
func (c *Client) Close() { c.conns.close() }

// Do makes the call. After an error the connection is not used again, and neither are the idle ones if time ran out:
// connections go silent together.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	began := time.Now()
	deadline := began.Add(r.Timeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	var v volume
	got, err := c.call(ctx, deadline, &r, &v)
	if errors.Is(err, context.DeadlineExceeded) {
		c.conns.dropIdle()
	}
	if c.observe != nil {
		c.observe(Call{Name: r.Name, Took: time.Since(began), Outcome: outcome(got, err), Sent: v.sent, Received: v.received})
	}
	return got, err
}

// call repeats a call that reads if a connection that was used before ends without a byte of the answer: the other side
// may have closed it while it was idle.
func (c *Client) call(ctx context.Context, deadline time.Time, r *Request, v *volume) (Answer, error) {
	if err := c.conns.acquire(ctx, deadline); err != nil {
		return Answer{}, err
	}
	defer c.conns.release()
	for {
		conn, err := c.conns.get(ctx, deadline)
		if err != nil {
			return Answer{}, cause(ctx, err)
		}
		conn.volume = v
		conn.grant(ctx, r)
		got, err := c.exchange(ctx, conn, r)
		if err == nil {
			return got, nil
		}
		stale := conn.used && !conn.heard && !errors.Is(err, os.ErrDeadlineExceeded)
		if !stale || r.Method != http.MethodGet {
			return got, cause(ctx, err)
		}
	}
}

// exchange makes the call on a connection and then keeps or closes it.
func (c *Client) exchange(ctx context.Context, conn *conn, r *Request) (Answer, error) {
	stop := context.AfterFunc(ctx, conn.interrupt)
	got, keep, err := conn.roundTrip(c.address, r)
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

// cause prefers the context's errors to those of the connection.
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

// RefusedForNow tells statuses that promise that nothing was done: 429 and 503.
func RefusedForNow(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
