package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func benchWorker(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		_, _ = io.WriteString(w, bodyOf("r"))
	}))
	b.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// BenchmarkConnectionPerRequest measures Client.
func BenchmarkConnectionPerRequest(b *testing.B) {
	address := benchWorker(b)
	client := New(Options{})
	b.ReportAllocs()
	for b.Loop() {
		resp, err := client.Do(b.Context(), Target{Address: address}, Request{Method: "GET", Path: "/", RequestID: "r", Echo: true})
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, errors.Join(err, resp.Body.Close()))
	}
}

// BenchmarkReusedConnection measures a client that reuses connections, as the baseline.
func BenchmarkReusedConnection(b *testing.B) {
	address := benchWorker(b)
	client := &http.Client{Transport: &http.Transport{}}
	b.Cleanup(client.CloseIdleConnections)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+address, http.NoBody)
		assert.NilError(b, err)
		resp, err := client.Do(request)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, errors.Join(err, resp.Body.Close()))
	}
}

// BenchmarkWorkerKeepsOpen measures Client with a worker that ignores "Connection: close", so that each request waits for
// CloseWait.
func BenchmarkWorkerKeepsOpen(b *testing.B) {
	worker := startWorker(b, func(w *rawWorker, conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, _ = io.WriteString(conn, completeResponse(w.read(conn, reader)))
		_, _ = reader.ReadByte()
	})
	client := New(Options{})
	for b.Loop() {
		resp, err := client.Do(b.Context(), Target{Address: worker.address}, Request{Method: "GET", Path: "/", RequestID: "r", Echo: true})
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, errors.Join(err, resp.Body.Close()))
	}
}
