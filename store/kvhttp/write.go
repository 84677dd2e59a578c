package kvhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/agateturn/agateturn/store"
)

func (s *Store) keyPath(key string) string {
	return "/v1/kv/" + escapePath(s.prefix+key)
}

// escapePath escapes the segments of a key and keeps the slashes between them.
func escapePath(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

func (s *Store) request(ctx context.Context, method, path string, query url.Values, body []byte) (*http.Request, error) {
	target := s.address + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, store.Unavailable.Wrap(err)
	}
	if s.token != "" {
		request.Header.Set(headerToken, s.token)
	}
	return request, nil
}

// put sends a write on a new connection and returns the body of the answer.
// Errors: store.Unavailable if nothing was sent or the service rejected the write, store.Unknown otherwise.
func (s *Store) put(ctx context.Context, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := s.request(ctx, http.MethodPut, path, query, body)
	if err != nil {
		return nil, err
	}
	dialer := trackingDialer{open: s.dial}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialer.dial}
	got, err := exchange(transport, request)
	switch {
	case err == nil:
		return got.body, got.writeError()
	case dialer.seal():
		return nil, store.Unavailable.Wrap(err)
	default:
		return nil, store.Unknown.Wrap(err)
	}
}

// answer is a complete answer of the service.
type answer struct {
	code   int
	status string
	index  uint64
	body   []byte
}

// exchange sends a request and reads the complete answer.
func exchange(transport *http.Transport, request *http.Request) (answer, error) {
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return answer{}, Malformed.New("answer longer than %d bytes", maxAnswerBytes)
	}
	// A missing index becomes 0, which Wait raises to 1, so that its watch returns without blocking.
	index, _ := strconv.ParseUint(response.Header.Get(headerIndex), 10, 64)
	return answer{code: response.StatusCode, status: response.Status, index: index, body: body}, nil
}

// writeError distinguishes a rejected write, which had no effect, from a failure that may have followed the write.
func (a answer) writeError() error {
	switch {
	case a.code == http.StatusOK:
		return nil
	case a.code == http.StatusNotFound:
		return errNotFound
	case a.code >= http.StatusBadRequest && a.code < http.StatusInternalServerError && a.code != http.StatusRequestTimeout:
		return store.Unavailable.New("write refused with %s", a.status)
	default:
		return store.Unknown.New("write answered %s", a.status)
	}
}

// errNotFound is the error of a write that names a session which no longer exists.
var errNotFound = store.Unavailable.New("write refused with 404 Not Found")

func isTrue(body []byte) bool {
	return string(bytes.TrimSpace(body)) == "true"
}

// States of a trackingDialer.
const (
	nothingSent int32 = iota
	maybeSent
	// sealed means that nothing was sent and that all further writes fail.
	sealed
)

// trackingDialer opens connections and records whether any data may have been sent on one of them.
type trackingDialer struct {
	// open opens a connection; nil uses a net.Dialer.
	open  func(ctx context.Context, network, address string) (net.Conn, error)
	state atomic.Int32
}

// seal reports whether nothing was sent, and in that case prevents further writes: a transport that has returned an
// error may still hold an open connection.
func (d *trackingDialer) seal() bool {
	return d.state.CompareAndSwap(nothingSent, sealed)
}

func (d *trackingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	open := d.open
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	conn, err := open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &trackingConn{Conn: conn, dialer: d}, nil
}

type trackingConn struct {
	net.Conn
	dialer *trackingDialer
}

// Write records the attempt before it writes, so that a successful seal proves that no byte was sent.
func (c *trackingConn) Write(data []byte) (int, error) {
	c.dialer.state.CompareAndSwap(nothingSent, maybeSent)
	if c.dialer.state.Load() == sealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}
