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

// escapePath escapes each part of a key and keeps the slashes between them.
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

// put sends one write on a connection of its own and returns the body of the answer.
// Errors: store.Unavailable if nothing was sent or the service refused it, store.Unknown otherwise.
func (s *Store) put(ctx context.Context, path string, query url.Values, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := s.request(ctx, http.MethodPut, path, query, body)
	if err != nil {
		return nil, err
	}
	dialer := watchedDialer{open: s.dial}
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

// answer is a whole answer of the service.
type answer struct {
	code   int
	status string
	index  uint64
	body   []byte
}

// exchange sends one request and reads the whole answer.
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
	// A missing index is 0, which makes the next watch read without waiting.
	index, _ := strconv.ParseUint(response.Header.Get(headerIndex), 10, 64)
	return answer{code: response.StatusCode, status: response.Status, index: index, body: body}, nil
}

// writeError tells a refusal, after which nothing was written, from a failure that may have come after the write.
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

// errNotFound is how a session that is gone answers.
var errNotFound = store.Unavailable.New("write refused with 404 Not Found")

func isTrue(body []byte) bool {
	return string(bytes.TrimSpace(body)) == "true"
}

// What may have been sent on a watchedDialer's connections.
const (
	sentNothing int32 = iota
	sentSomething
	// sentSealed is sentNothing for good: every write fails from now on.
	sentSealed
)

// watchedDialer dials connections and notes whether anything may have been sent on one.
type watchedDialer struct {
	// open makes the connections; nil for a net.Dialer.
	open  func(ctx context.Context, network, address string) (net.Conn, error)
	state atomic.Int32
}

// seal tells whether nothing was sent, and sees to it that nothing will be: a transport that gave an error back may
// still have a connection at hand.
func (d *watchedDialer) seal() bool {
	return d.state.CompareAndSwap(sentNothing, sentSealed)
}

func (d *watchedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	open := d.open
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	conn, err := open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, dialer: d}, nil
}

type watchedConn struct {
	net.Conn
	dialer *watchedDialer
}

// Write makes its note before it writes, so that a seal proves that no byte left.
func (c *watchedConn) Write(data []byte) (int, error) {
	c.dialer.state.CompareAndSwap(sentNothing, sentSomething)
	if c.dialer.state.Load() == sentSealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}
