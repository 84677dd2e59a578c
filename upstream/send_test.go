package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func post(id string) Request {
	return Request{
		Method: http.MethodPost, Path: "/fee?x=1", Header: http.Header{"Idempotency-Key": {id}},
		Body: strings.NewReader("amount=1"), ContentLength: 8, RequestID: id, Echo: true,
	}
}

// limitedConn fails after left bytes have been written, like a connection that breaks.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(c.left, len(p))
	if n > 0 {
		if _, err := c.Conn.Write(p[:n]); err != nil {
			return 0, err
		}
	}
	c.left -= n
	if n < len(p) {
		return n, errors.New("connection broke")
	}
	return n, nil
}

// countBytes scripts a worker that counts the bytes it receives and answers only complete requests.
func countBytes(w *rawWorker, conn net.Conn) {
	counted := io.TeeReader(conn, writerFunc(func(p []byte) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.bytes += len(p)
	}))
	if id := w.read(conn, bufio.NewReader(counted)); id != "" {
		_, _ = io.WriteString(conn, completeResponse(id))
	}
}

type writerFunc func(p []byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

// TestSendBreaksAtEveryByte guards against reporting a request as not run after a part of it was sent, as a client does
// that returns NotRun for every error before the response.
func TestSendBreaksAtEveryByte(t *testing.T) {
	wrongIfAlwaysNotRun := 0
	for sent := 0; ; sent++ {
		worker := startWorker(t, countBytes)
		client := New(Options{})
		dial := client.dialRaw
		client.dialRaw = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return &limitedConn{Conn: conn, left: sent}, err
		}
		resp, err := client.Do(t.Context(), Target{Address: worker.address}, post("r"))
		if err == nil {
			assert.NilError(t, resp.Body.Close())
			assert.Assert(t, sent > 100, "the whole request was sent")
			break
		}
		assert.Equal(t, NotRun.Has(err), sent == 0, "%d bytes sent: %v", sent, err)
		assert.Equal(t, OutcomeUnknown.Has(err), sent > 0, "%d bytes sent: %v", sent, err)
		if sent > 0 {
			wrongIfAlwaysNotRun++
		}
		assert.Equal(t, client.Active(), 0)
	}
	assert.Assert(t, wrongIfAlwaysNotRun > 0)
}

// TestNotRunHoldsUnderCancellation guards against bytes that reach the worker although Do returned NotRun after a
// cancellation.
func TestNotRunHoldsUnderCancellation(t *testing.T) {
	client := New(Options{})
	rapid.Check(t, func(rt *rapid.T) {
		worker := startWorker(t, countBytes)
		delay := time.Duration(rapid.IntRange(0, 400).Draw(rt, "microseconds")) * time.Microsecond
		ctx, cancel := context.WithTimeout(context.Background(), delay)
		defer cancel()
		resp, err := client.Do(ctx, Target{Address: worker.address}, post("r"))
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		if NotRun.Has(err) {
			time.Sleep(2 * time.Millisecond) // time for stray bytes to arrive
			worker.mu.Lock()
			defer worker.mu.Unlock()
			assert.Equal(rt, worker.bytes, 0, "%v", err)
		}
	})
}

// TestNothingIsWrittenAfterNotRun checks that no byte is sent if a dial ends after Do returned NotRun, or if a write starts
// after seal.
func TestNothingIsWrittenAfterNotRun(t *testing.T) {
	worker := startWorker(t, countBytes)
	client := New(Options{})
	dial := client.dialRaw
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan struct{})
	late := make(chan net.Conn)
	client.dialRaw = func(ctx context.Context, network, address string) (net.Conn, error) {
		cancel()
		<-returned
		conn, err := dial(context.WithoutCancel(ctx), network, address)
		late <- conn
		return conn, err
	}
	_, err := client.Do(ctx, Target{Address: worker.address}, post("r"))
	assert.Assert(t, NotRun.Has(err), "%v", err)
	close(returned)
	raw := <-late

	ex := &exchange{beforeSend: func() error { return nil }}
	c := &conn{Conn: raw, ex: ex}
	assert.Assert(t, !ex.seal())
	_, err = c.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, errSealed), "%v", err)
	assert.Assert(t, errors.Is(ex.attach(c), errSealed))
}

// TestStartedWriteCountsAsSent checks that a request counts as sent if its exchange ends during a write that has not accepted
// a byte yet.
func TestStartedWriteCountsAsSent(t *testing.T) {
	ex := &exchange{beforeSend: func() error { return nil }}
	assert.NilError(t, ex.begin())
	assert.Assert(t, ex.seal())
	ex.wrote(0, io.ErrClosedPipe)
	assert.Assert(t, errors.Is(ex.begin(), errSealed))
}

func TestRefusedBeforeSendIsNotRun(t *testing.T) {
	worker := startWorker(t, countBytes)
	paused := errors.New("paused")
	var calls atomic.Int64
	client := New(Options{BeforeSend: func(Target) error {
		calls.Add(1)
		return paused
	}})
	_, err := client.Do(t.Context(), Target{Address: worker.address}, post("r"))
	assert.Assert(t, NotRun.Has(err) && errors.Is(err, paused), "%v", err)
	request := post("r")
	request.BeforeSend = func() error { return paused }
	_, err = New(Options{}).Do(t.Context(), Target{Address: worker.address}, request)
	assert.Assert(t, NotRun.Has(err) && errors.Is(err, paused), "%v", err)
	assert.Equal(t, calls.Load(), int64(1))
	assert.Equal(t, worker.bytes, 0)
}

func TestUnreachableIsNotRun(t *testing.T) {
	worker := startWorker(t, countBytes)
	client := New(Options{})
	client.dialRaw = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	_, err := client.Do(t.Context(), Target{Address: worker.address}, post("r"))
	assert.Assert(t, NotRun.Has(err), "%v", err)
}

// closeSecond answers the first request of a connection and closes the connection after reading the second. On a new
// connection the second request is answered, so that a replay is recorded as a run.
func closeSecond(w *rawWorker, conn net.Conn) {
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		id := w.read(conn, reader)
		if id == "" || id == "second" && i > 0 {
			return
		}
		_, _ = io.WriteString(conn, completeResponse(id))
	}
}

// TestNoReplay guards against running a request with an idempotency key twice, as a client does that reuses connections
// and replays requests.
func TestNoReplay(t *testing.T) {
	reusing := &http.Client{Transport: &http.Transport{}}
	defer reusing.CloseIdleConnections()
	worker := startWorker(t, closeSecond)
	for _, id := range []string{"first", "second"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+worker.address, strings.NewReader("x"))
		assert.NilError(t, err)
		request.Header = http.Header{"Idempotency-Key": {id}, RequestIDHeader: {id}}
		resp, err := reusing.Do(request)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, errors.Join(err, resp.Body.Close()))
	}
	assert.Equal(t, worker.runs(), 3, "the client that reuses connections must replay")

	worker = startWorker(t, closeSecond)
	client := New(Options{})
	for _, id := range []string{"first", "second"} {
		resp, err := client.Do(t.Context(), Target{Address: worker.address}, post(id))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, worker.runs(), 2)
}

// TestCloseAfterReading checks the outcome if the worker closes the connection after reading the request.
func TestCloseAfterReading(t *testing.T) {
	worker := startWorker(t, func(w *rawWorker, conn net.Conn) { w.read(conn, bufio.NewReader(conn)) })
	_, err := New(Options{}).Do(t.Context(), Target{Address: worker.address}, post("r"))
	assert.Assert(t, OutcomeUnknown.Has(err), "%v", err)
	assert.Equal(t, worker.runs(), 1)
}

// TestRequestOnTheWire checks the bytes sent to a worker.
func TestRequestOnTheWire(t *testing.T) {
	sent := make(chan string, 1)
	worker := startWorker(t, func(_ *rawWorker, conn net.Conn) {
		buffer := make([]byte, 4096)
		n, _ := conn.Read(buffer)
		sent <- string(buffer[:n])
	})
	request := Request{Method: http.MethodGet, Path: "/a%2Fb?c=d", RequestID: "r", Header: http.Header{
		"Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"}, "X-End": {"2"},
	}}
	_, err := New(Options{}).Do(t.Context(), Target{Address: worker.address}, request)
	assert.Assert(t, OutcomeUnknown.Has(err))
	assert.Equal(t, <-sent, "GET /a%2Fb?c=d HTTP/1.1\r\nHost: "+worker.address+
		"\r\nAgateturn-Request-Id: r\r\nX-End: 2\r\nConnection: close\r\n\r\n")
	_, err = New(Options{}).Do(t.Context(), Target{Address: worker.address}, Request{Method: "GET", Path: "http://evil/"})
	assert.Assert(t, NotRun.Has(err), "%v", err)
}
