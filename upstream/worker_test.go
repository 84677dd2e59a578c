package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawWorker is a TCP server with a scripted reply. It records the requests it received, to check reported outcomes
// against.
type rawWorker struct {
	address string
	mu      sync.Mutex
	bytes   int      // total bytes received
	ran     []string // ids of complete requests, in order
}

// startWorker serves each connection with script until the test ends.
func startWorker(t testing.TB, script func(w *rawWorker, conn net.Conn)) *rawWorker {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := &rawWorker{address: listener.Addr().String()}
	var conns sync.WaitGroup
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Go(func() {
				defer func() { _ = conn.Close() }()
				script(w, conn)
			})
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-accepting
		conns.Wait()
	})
	return w
}

// read reads a complete request, records it and returns its id, or "" if no complete request arrived.
func (w *rawWorker) read(conn net.Conn, reader *bufio.Reader) string {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return ""
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return ""
	}
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	w.mu.Lock()
	defer w.mu.Unlock()
	id := request.Header.Get(RequestIDHeader)
	w.ran = append(w.ran, id)
	return id
}

func (w *rawWorker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.ran)
}

// respond returns a script that reads one request, writes what format returns for the request's id, and closes the connection.
func respond(format func(id string) string) func(*rawWorker, net.Conn) {
	return func(w *rawWorker, conn net.Conn) {
		id := w.read(conn, bufio.NewReader(conn))
		_, _ = io.WriteString(conn, format(id))
	}
}

// bodyOf returns the expected body of the response to a request.
func bodyOf(id string) string { return strings.Repeat("body of "+id+";", 20) }

// responseWithLength returns a response that declares the given length.
func responseWithLength(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", RequestIDHeader, id, length, bodyOf(id))
}

func completeResponse(id string) string { return responseWithLength(id, len(bodyOf(id))) }

// chunked returns a complete response in two chunks.
func chunked(id string) string {
	body := bodyOf(id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		RequestIDHeader, id, body[:8], len(body)-8, body[8:])
}

// startEntry starts a server that sends each request to the worker and handles the response with relay.
func startEntry(t testing.TB, client *Client, address string, relay func(http.ResponseWriter, *Response)) *httptest.Server {
	t.Helper()
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, err := client.Do(r.Context(), Target{Address: address}, Request{
			Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: r.Body, ContentLength: r.ContentLength,
			RequestID: r.Header.Get("Caller-Id"), Echo: true,
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		relay(w, resp)
	}))
	t.Cleanup(entry.Close)
	return entry
}

// relayOrAbort relays a response as an entry host does.
func relayOrAbort(w http.ResponseWriter, resp *Response) {
	_, err := Relay(w, resp)
	if Aborted.Has(err) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

// relayIgnoringErrors returns normally even if the copy fails.
func relayIgnoringErrors(w http.ResponseWriter, resp *Response) {
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", fmt.Sprint(resp.ContentLength))
	}
	_, _ = io.Copy(w, resp.Body)
}

// call sends a request as a caller. It returns errTruncated for a truncated response, and another error for any status but 200.
func call(t testing.TB, url, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	assert.NilError(t, err)
	request.Header.Set("Caller-Id", id)
	request.Close = true
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", errors.Join(errTruncated, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Join(errTruncated, err)
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.New(string(body))
	}
	return string(body), nil
}
