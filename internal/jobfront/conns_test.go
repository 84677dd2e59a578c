package jobfront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/queue"
)

// serve starts a front on loopback. served receives the result of Serve.
func serve(t *testing.T, f *Front) (address string, served chan error) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	served = make(chan error, 1)
	go func() { served <- f.Serve(listener) }()
	return listener.Addr().String(), served
}

// TestShutdownCompletesStoredRequests shuts a front down under load. The caller of each stored job must have received the
// whole response.
func TestShutdownCompletesStoredRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	for range 10 {
		b := newFakeBackend()
		b.storeDelay = time.Millisecond
		f := b.front()
		address, served := serve(t, f)
		var answered atomic.Int64
		var callers sync.WaitGroup
		for range 20 {
			callers.Go(func() { answered.Add(submitUntilClosed(t, address)) })
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		assert.NilError(t, f.Shutdown(ctx))
		cancel()
		assert.NilError(t, <-served)
		callers.Wait()
		assert.Equal(t, answered.Load(), int64(len(b.records)))
	}
}

// submitUntilClosed submits jobs over keep-alive connections until it can no longer connect, and counts the complete
// responses.
func submitUntilClosed(t *testing.T, address string) (answered int64) {
	for {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
		if err != nil {
			return answered
		}
		input := bufio.NewReader(conn)
		for submitOnce(conn, input) {
			answered++
		}
		_ = conn.Close()
	}
}

func submitOnce(conn net.Conn, input *bufio.Reader) bool {
	if _, err := io.WriteString(conn, "POST /a/0001 HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(input, nil)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

func TestResponsesWhileStoppingCloseConnections(t *testing.T) {
	f := newFakeBackend().front()
	f.BeginStop()
	assert.Equal(t, do(f, http.MethodPost, "/a/0001", "{}").Header().Get("Connection"), "close")
	assert.Assert(t, f.notReady() != "")
}

// TestConnectionsAreAcceptedDuringStopNotice connects after BeginStop. Shutdown ends within its deadline although
// StopNotice is longer, and still leaves time for requests.
func TestConnectionsAreAcceptedDuringStopNotice(t *testing.T) {
	f := newFakeBackend().front()
	f.options.StopNotice = time.Hour
	address, served := serve(t, f)
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	f.BeginStop()
	go func() { stopped <- f.Shutdown(ctx) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	assert.Assert(t, submitOnce(conn, bufio.NewReader(conn)))
	assert.NilError(t, conn.Close())
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-served)
}

// TestTableLimitsApplyAtRuntime changes the timeout of idle connections while a connection is open, and then the limit of
// headers.
func TestTableLimitsApplyAtRuntime(t *testing.T) {
	b := newFakeBackend()
	f := b.front()
	address, served := serve(t, f)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	b.setLimits(queue.Limits{IdleTimeout: 50 * time.Millisecond})
	input := bufio.NewReader(conn)
	assert.Assert(t, submitOnce(conn, input))
	began := time.Now()
	assert.NilError(t, conn.SetReadDeadline(began.Add(5*time.Second)))
	_, err = input.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	b.setLimits(queue.Limits{MaxHeaderBytes: 100})
	long := bytes.Repeat([]byte("x"), 200)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/a/0001", strings.NewReader(""))
	assert.NilError(t, err)
	request.Header.Set("X-Long", string(long))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.NilError(t, f.Shutdown(t.Context()))
	assert.NilError(t, <-served)
}

// Guards against a legal request that is rejected in calm: a header of many short lines, of a size within the limit, counted as larger, as
// if each line had a space after its colon.
func TestLegalHeaderOfShortLinesIsServed(t *testing.T) {
	const limit = 16 << 10
	b := newFakeBackend()
	b.setLimits(queue.Limits{MaxHeaderBytes: limit})
	f := b.front()
	address, served := serve(t, f)
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	begin := "GET /a/0001 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
	_, err = io.WriteString(conn, begin+strings.Repeat("a:\r\n", (limit-len(begin)-2)/4)+"\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, response.StatusCode != http.StatusRequestHeaderFieldsTooLarge)
	assert.NilError(t, conn.Close())
	assert.NilError(t, f.Shutdown(t.Context()))
	assert.NilError(t, <-served)
}
