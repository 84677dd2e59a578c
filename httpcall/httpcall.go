// Package httpcall makes HTTP/1.1 calls to one address and tells, when no answer comes, whether the request can have
// arrived. Bodies are JSON by type; what stands in them is the caller's business.
package httpcall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// unackedTimeout ends connections on which data is not acknowledged for so long.
	unackedTimeout = 3 * time.Second
	// idleTimeout closes connections that were not used for so long.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
	// bufferBytes is the size of a connection's read and of its write buffer.
	bufferBytes = 4 << 10
	// presizedBytes is the longest body for which memory is taken before it arrives.
	presizedBytes = 64 << 10
	// maxIdle is how many idle connections a client without a bound keeps.
	maxIdle = 16
)

// keepAlive finds idle connections that went silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// ErrTooLong is the error of an answer that is longer than Request.Limit.
var ErrTooLong = errors.New("answer longer than allowed")

// Observer is told of each call: its name, duration and outcome, one of ok, refused, limited, unavailable, failed (by
// the answer's status), timeout, cancelled, unreachable, broken. It must not block.
type Observer func(call string, d time.Duration, outcome string)

// Client calls one address. It may be used concurrently.
type Client struct {
	address   string
	transport *http.Transport
	observe   Observer
	closed    atomic.Bool
}

// Request is one call.
type Request struct {
	// Name of the call in measures.
	Name         string
	Method, Path string
	// Query is encoded already.
	Query string
	// Header is changed by the call; nil for none.
	Header http.Header
	// Body is nil for none.
	Body    []byte
	Timeout time.Duration
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
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: socketOptions}
	idle := connections
	if idle == 0 {
		idle = maxIdle
	}
	address = strings.TrimSuffix(strings.TrimPrefix(address, "http://"), "/")
	return &Client{address: address, observe: observe, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
}

// Close drops idle connections, and those of calls under way when they end.
func (c *Client) Close() {
	c.closed.Store(true)
	c.transport.CloseIdleConnections()
}

// Do makes the call. After an error the connection is not used again, and neither are the idle ones if time ran out:
// connections go silent together.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	got, err := c.exchange(ctx, r)
	if errors.Is(err, context.DeadlineExceeded) || c.closed.Load() {
		c.transport.CloseIdleConnections()
	}
	if c.observe != nil {
		c.observe(r.Name, time.Since(began), outcome(got, err))
	}
	return got, err
}

func (c *Client) exchange(ctx context.Context, r Request) (Answer, error) {
	var got Answer
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got.Sent = true }}
	resp, err := c.transport.RoundTrip(c.request(httptrace.WithClientTrace(ctx, trace), r))
	if err != nil {
		return got, cause(ctx, err)
	}
	body, err := readBody(resp, r.Limit)
	_ = resp.Body.Close()
	if err != nil {
		return got, cause(ctx, err)
	}
	got.Status, got.Body = resp.StatusCode, body
	return got, nil
}

// cause prefers the context's error, which the transport does not always wrap.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

var jsonType = []string{"application/json"}

func (c *Client) request(ctx context.Context, r Request) *http.Request {
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: "http", Host: c.address, Path: r.Path, RawQuery: r.Query}, Host: c.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: r.Header,
	}
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if r.Body != nil {
		req.Header["Content-Type"] = jsonType
		req.ContentLength = int64(len(r.Body))
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
	}
	return req.WithContext(ctx)
}

// readBody trusts the announced length only as far as presizedBytes.
func readBody(resp *http.Response, limit int) ([]byte, error) {
	if resp.ContentLength > int64(limit) {
		return nil, ErrTooLong
	}
	if resp.ContentLength >= 0 && resp.ContentLength <= presizedBytes {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, ErrTooLong
	}
	return body, err
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
