package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/internal/bodies"
	"github.com/agateturn/agateturn/internal/intake"
)

const (
	budgetBytes = 1 << 20
	maxHeader   = 64 << 10
	full        = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	tooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	ordinary    = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
)

// serve serves requests and returns the address and the budget for headers. If release is not nil, each request sends to it when it is
// handled, and again before it is answered.
func serve(t *testing.T, release chan struct{}) (string, *bodies.Budget) {
	t.Helper()
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	budget := bodies.NewBudget(budgetBytes)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if release != nil {
			release <- struct{}{}
			release <- struct{}{}
		}
		_, _ = io.WriteString(w, "served")
	})}
	listener := intake.Listen(inner, server, intake.Options{
		Budget: budget, MaxHeaderBytes: func() int { return maxHeader }, Full: full, TooLarge: tooLarge,
		RejectFull: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String(), budget
}

// send opens a connection and sends the text.
func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	return c
}

// status returns the status of the next answer on a connection.
func status(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// awaitReleased waits until nothing is charged to the budget.
func awaitReleased(t *testing.T, budget *bodies.Budget) {
	t.Helper()
	for range 500 {
		if budget.Take(budgetBytes) {
			budget.Release(budgetBytes)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("bytes remain charged")
}

// Guards against headers that together use up the memory: those that do not fit into the budget are rejected while they arrive.
// Ordinary requests are served meanwhile.
func TestHeadersBeyondTheBudgetAreRejected(t *testing.T) {
	address, budget := serve(t, nil)
	unfinished := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1500)
	assert.Assert(t, budget.Take(budgetBytes))
	rejected := send(t, address, unfinished)
	assert.Equal(t, status(t, bufio.NewReader(rejected)), http.StatusServiceUnavailable)
	c := send(t, address, ordinary+ordinary)
	reader := bufio.NewReader(c)
	assert.Equal(t, status(t, reader), http.StatusOK)
	assert.Equal(t, status(t, reader), http.StatusOK)
}

// Guards against ordinary requests that are rejected for the lines of their bodies, or of the requests that came with them.
func TestOnlyHeadersAreCharged(t *testing.T) {
	address, budget := serve(t, nil)
	assert.Assert(t, budget.Take(budgetBytes))
	body := strings.Repeat("{}\n", 400)
	c := send(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	assert.Equal(t, status(t, bufio.NewReader(c)), http.StatusOK)
	reader := bufio.NewReader(send(t, address, strings.Repeat(ordinary, 20)))
	for range 20 {
		assert.Equal(t, status(t, reader), http.StatusOK)
	}
}

// Guards against a request that runs and is answered as rejected: the server reads on in the background before it calls the handler, and
// what it read of the next request was charged as part of the header.
func TestRunningRequestIsNotRejected(t *testing.T) {
	const size, budgetLines = 8 << 10, 1504
	inner, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	begin := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", budgetLines-4)
	text := begin + "b:" + strings.Repeat("x", size-len(begin)-len("b:\r\n\r\n")) + "\r\n\r\n"
	budget := bodies.NewBudget(size + 128*budgetLines) // exactly this header
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "served")
	})}
	listener := intake.Listen(inner, server, intake.Options{
		Budget: budget, Full: full, TooLarge: tooLarge,
		RejectFull: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	for range 300 {
		c := send(t, inner.Addr().String(), text+"GET ")
		assert.Equal(t, status(t, bufio.NewReader(c)), http.StatusOK)
		assert.NilError(t, c.Close())
		for !budget.Take(size + 128*budgetLines) {
			time.Sleep(time.Millisecond)
		}
		budget.Release(size + 128*budgetLines)
	}
}

// Guards against headers that are charged with the request before them only, in whose segment they came.
func TestPipelinedHeaderIsCharged(t *testing.T) {
	release := make(chan struct{})
	address, budget := serve(t, release)
	reader := bufio.NewReader(send(t, address, ordinary+"GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 900)+"\r\n"))
	<-release
	assert.Assert(t, budget.Take(budgetBytes-1<<10))
	<-release
	assert.Equal(t, status(t, reader), http.StatusOK)
	assert.Equal(t, status(t, reader), http.StatusServiceUnavailable)
}

// Guards against a budget that shrinks: whatever way a request ends, its header is no longer charged.
func TestChargesEndWithTheirRequests(t *testing.T) {
	release := make(chan struct{})
	address, budget := serve(t, release)
	lines := strings.Repeat("a:\r\n", 500)
	first := send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n")
	_ = send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+lines).Close()
	bad := send(t, address, "GET\r\n"+lines+"\r\n")
	assert.Equal(t, status(t, bufio.NewReader(bad)), http.StatusBadRequest)
	<-release
	<-release
	assert.Equal(t, status(t, bufio.NewReader(first)), http.StatusOK)
	awaitReleased(t, budget)
}

// Guards against headers without end, also of empty lines before a request: they are rejected before the server has read them all.
func TestHeaderWithoutEndIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"one line":  "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 2*maxHeader),
		"no line":   strings.Repeat("a", 2*maxHeader),
		"two lines": "GET / HTTP/1.1\r\nX: " + strings.Repeat("a", maxHeader) + "\r\nY: " + strings.Repeat("a", maxHeader),
	} {
		t.Run(name, func(t *testing.T) {
			address, budget := serve(t, nil)
			c := send(t, address, text)
			assert.Equal(t, status(t, bufio.NewReader(c)), http.StatusRequestHeaderFieldsTooLarge)
			awaitReleased(t, budget)
		})
	}
}
