package httpcall_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/agateturn/agateturn/httpcall"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"ok":true}`))
	}))
	defer server.Close()
	client := httpcall.New(server.URL, 1, nil)
	defer client.Close()
	got, err := client.Do(context.Background(), httpcall.Request{
		Name: "state", Method: http.MethodGet, Path: "/state", Timeout: time.Second, Limit: 1024,
	})
	fmt.Println(got.Status, string(got.Body), got.Sent, err)
	// Output: 200 {"ok":true} true <nil>
}

// countingServer is a server that counts its connections: all that were made, and those still open.
type countingServer struct {
	*httptest.Server
	made, open atomic.Int64
}

func start(t *testing.T, handler http.HandlerFunc) *countingServer {
	t.Helper()
	c := &countingServer{Server: httptest.NewUnstartedServer(handler)}
	c.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			c.made.Add(1)
			c.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			c.open.Add(-1)
		default:
		}
	}
	c.Start()
	t.Cleanup(c.Close)
	return c
}

const (
	// longTimeout is for calls that are answered, also on a busy machine; shortTimeout is for calls that time out.
	longTimeout  = 20 * time.Second
	shortTimeout = 500 * time.Millisecond
)

func request(path string, timeout time.Duration) httpcall.Request {
	return httpcall.Request{Name: "call", Method: http.MethodPost, Path: path, Body: []byte("{}"), Timeout: timeout, Limit: 8}
}

// blockUntilDisconnect reads the request and sends no answer until the client disconnects.
func blockUntilDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// closeWithoutAnswer closes the connection without an answer.
func closeWithoutAnswer(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = conn.Close()
	}
}

func TestSentReportsWhetherRequestCanHaveArrived(t *testing.T) {
	server := start(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			closeWithoutAnswer(w)
		case "/silent":
			blockUntilDisconnect(r)
		case "/long":
			_, _ = w.Write([]byte("0123456789"))
		case "/chunks":
			_, _ = w.Write([]byte("012345"))
			_ = http.NewResponseController(w).Flush()
			_, _ = w.Write([]byte("6789"))
		}
	})
	var outcome string
	client := httpcall.New(server.URL, 2, func(c httpcall.Call) { outcome = c.Outcome })
	t.Cleanup(client.Close)
	tests := []struct {
		path, outcome string
		err           error
	}{
		{"/", "ok", nil},
		{"/cut", "broken", nil},
		{"/silent", "timeout", context.DeadlineExceeded},
		{"/long", "broken", httpcall.ErrTooLong},
		{"/chunks", "broken", httpcall.ErrTooLong},
	}
	for _, test := range tests {
		timeout := longTimeout
		if errors.Is(test.err, context.DeadlineExceeded) {
			timeout = shortTimeout
		}
		got, err := client.Do(context.Background(), request(test.path, timeout))
		assert.Assert(t, got.Sent, test.path)
		assert.Equal(t, outcome, test.outcome, test.path)
		assert.Equal(t, err == nil, test.outcome == "ok", "%s: %v", test.path, err)
		assert.Assert(t, test.err == nil || errors.Is(err, test.err), "%s: %v", test.path, err)
	}
}

// TestByteCountsOfCalls checks that bytes are counted per call on a reused connection, also without a complete answer.
func TestByteCountsOfCalls(t *testing.T) {
	var last httpcall.Call
	listener := startScriptedServer(t, plainAnswer, plainAnswer, "HTTP/1.1 200 OK")
	client := httpcall.New(listener, 1, func(c httpcall.Call) { last = c })
	t.Cleanup(client.Close)
	sent := int64(len("GET / HTTP/1.1\r\nHost: " + listener + "\r\n\r\n"))
	for _, received := range []int{len(plainAnswer), len(plainAnswer), len("HTTP/1.1 200 OK")} {
		_, _ = client.Do(context.Background(), get(longTimeout))
		assert.Equal(t, last.Sent, sent)
		assert.Equal(t, last.Received, int64(received), last.Outcome)
	}
}

func TestUnsentRequests(t *testing.T) {
	closed := httptest.NewServer(nil)
	closed.Close()
	refused := httpcall.New(closed.URL, 1, nil)
	t.Cleanup(refused.Close)
	got, err := refused.Do(context.Background(), request("/", longTimeout))
	assert.Assert(t, err != nil && !got.Sent)

	server := start(t, func(_ http.ResponseWriter, r *http.Request) { blockUntilDisconnect(r) })
	client := httpcall.New(server.URL, 1, nil)
	t.Cleanup(client.Close)
	ctx, cancel := context.WithCancel(context.Background())
	first := make(chan error)
	go func() {
		_, err := client.Do(ctx, request("/", longTimeout))
		first <- err
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.open.Load() == 1 {
			return poll.Success()
		}
		return poll.Continue("not connected")
	})
	got, err = client.Do(context.Background(), request("/", shortTimeout))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.Assert(t, !got.Sent, "the only connection is in use")
	cancel()
	assert.ErrorIs(t, <-first, context.Canceled)
}

// TestIdleConnectionsAreDroppedAfterTimeout guards against using another idle connection after a call on one of them timed
// out.
func TestIdleConnectionsAreDroppedAfterTimeout(t *testing.T) {
	var silent atomic.Bool
	var oldAddresses sync.Map
	server := start(t, func(w http.ResponseWriter, r *http.Request) {
		if !silent.Load() {
			time.Sleep(20 * time.Millisecond)
			oldAddresses.Store(r.RemoteAddr, true)
			return
		}
		if _, known := oldAddresses.Load(r.RemoteAddr); known {
			blockUntilDisconnect(r)
		}
		_, _ = w.Write([]byte("new"))
	})
	client := httpcall.New(server.URL, 4, nil)
	t.Cleanup(client.Close)
	done := make(chan error)
	for range 2 {
		go func() {
			_, err := client.Do(context.Background(), request("/", longTimeout))
			done <- err
		}()
	}
	assert.NilError(t, errors.Join(<-done, <-done))
	silent.Store(true)
	_, err := client.Do(context.Background(), request("/", shortTimeout))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	got, err := client.Do(context.Background(), request("/", longTimeout))
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), "new")
	assert.Equal(t, server.made.Load(), int64(3))
}

func TestCloseDropsConnectionsOfCallsInProgress(t *testing.T) {
	waiting, answer := make(chan struct{}), make(chan struct{})
	server := start(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/wait") {
			close(waiting)
			<-answer
		}
		_, _ = w.Write([]byte("done"))
	})
	client := httpcall.New(server.URL, 4, nil)
	_, err := client.Do(context.Background(), request("/", longTimeout))
	assert.NilError(t, err)
	done := make(chan error)
	go func() {
		_, err := client.Do(context.Background(), request("/wait", longTimeout))
		done <- err
	}()
	<-waiting
	client.Close()
	close(answer)
	assert.NilError(t, <-done)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.open.Load() == 0 {
			return poll.Success()
		}
		return poll.Continue("%d connections are open", server.open.Load())
	})
}

// TestSlowAnswersExtendTheDeadline guards against a time-out of an answer that keeps arriving on a slow link: such an answer
// was aborted and requested again and again. An answer that stalls must still time out.
func TestSlowAnswersExtendTheDeadline(t *testing.T) {
	const (
		pause = 50 * time.Millisecond
		limit = 4 * pause
		parts = 12
	)
	server := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(parts))
		for i := range parts {
			if r.URL.Path == "/stalls" && i == parts/2 {
				blockUntilDisconnect(r)
			}
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
	})
	client := httpcall.New(server.URL, 1, nil)
	t.Cleanup(client.Close)
	doGet := func(ctx context.Context, path string, maxTimeout time.Duration) error {
		_, err := client.Do(ctx, httpcall.Request{
			Name: "call", Method: http.MethodGet, Path: path, Timeout: limit, MaxTimeout: maxTimeout, Limit: 64,
		})
		return err
	}
	assert.ErrorIs(t, doGet(context.Background(), "/", 0), context.DeadlineExceeded)
	assert.NilError(t, doGet(context.Background(), "/", longTimeout))
	assert.ErrorIs(t, doGet(context.Background(), "/", limit+pause), context.DeadlineExceeded)
	began := time.Now()
	assert.ErrorIs(t, doGet(context.Background(), "/stalls", longTimeout), context.DeadlineExceeded)
	assert.Assert(t, time.Since(began) < longTimeout/2)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(2*pause, cancel)
	assert.ErrorIs(t, doGet(ctx, "/", longTimeout), context.Canceled)
}
