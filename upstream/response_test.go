package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// duplicateLate answers each request, and sends the duplicate of the previous response only after it has read the next request:
// the latest time at which a duplicate can arrive.
func duplicateLate(w *rawWorker, conn net.Conn) {
	reader := bufio.NewReader(conn)
	last := ""
	for {
		id := w.read(conn, reader)
		if id == "" {
			return
		}
		_, _ = io.WriteString(conn, last+completeResponse(id))
		last = completeResponse(id)
	}
}

// TestLateResponseIsNotTakenForNextOne guards against taking a duplicated response for the response to the next request, as a
// client that reuses connections does.
func TestLateResponseIsNotTakenForNextOne(t *testing.T) {
	worker := startWorker(t, duplicateLate)
	reusing := &http.Client{Transport: &http.Transport{}}
	defer reusing.CloseIdleConnections()
	wrong := 0
	for i := range 4 {
		id := fmt.Sprint(i)
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+worker.address, http.NoBody)
		assert.NilError(t, err)
		request.Header.Set(RequestIDHeader, id)
		resp, err := reusing.Do(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, errors.Join(err, resp.Body.Close()))
		if string(body) != bodyOf(id) {
			wrong++
		}
	}
	assert.Assert(t, wrong > 0, "the client that reuses connections must take a late response for the next one")

	entry := startEntry(t, New(Options{}), worker.address, relayOrAbort)
	for i := range 4 {
		body, err := call(t, entry.URL, fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Equal(t, body, bodyOf(fmt.Sprint(i)))
	}
}

// TestResponseTruncatedAtEveryByte guards against relaying a truncated response as a complete one, as a relay does that returns
// normally after a failed copy.
func TestResponseTruncatedAtEveryByte(t *testing.T) {
	for name, full := range map[string]func(string) string{"length": completeResponse, "chunks": chunked} {
		for _, ignoreErrors := range []bool{true, false} {
			wrong := 0
			size := len(full("r"))
			keep := 0
			worker := startWorker(t, respond(func(id string) string { return full(id)[:keep] }))
			relay := relayOrAbort
			if ignoreErrors {
				relay = relayIgnoringErrors
			}
			entry := startEntry(t, New(Options{}), worker.address, relay)
			for keep = range size + 1 {
				body, err := call(t, entry.URL, "r")
				if err == nil && body != bodyOf("r") {
					wrong++
				}
				if !ignoreErrors {
					assert.Equal(t, err == nil, keep == size, "%s cut at %d of %d: %v", name, keep, size, err)
				}
			}
			assert.Equal(t, wrong > 0, ignoreErrors && name == "chunks", "%s: %d truncated responses relayed as complete", name, wrong)
		}
	}
}

// TestMalformedResponses checks that malformed responses do not reach the caller as complete ones.
func TestMalformedResponses(t *testing.T) {
	right := len(bodyOf("r"))
	head := "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\n"
	tests := map[string]string{
		"length too small":     responseWithLength("r", right-1),
		"length zero":          responseWithLength("r", 0),
		"length too large":     responseWithLength("r", right+1),
		"length twice":         head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"no length, no chunks": head + "\r\n" + bodyOf("r"),
		"crossed":              completeResponse("other"),
		"unnamed":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"switch not requested": head[:9] + "101 Switching Protocols\r\n" + RequestIDHeader + ": r\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"header too large":     head + "X: " + strings.Repeat("x", DefaultMaxHeaderBytes) + "\r\nContent-Length: 0\r\n\r\n",
		"too many interim":     strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 9) + completeResponse("r"),
		"not HTTP":             "hello\r\n\r\n",
	}
	for name, bytes := range tests {
		worker := startWorker(t, respond(func(string) string { return bytes }))
		entry := startEntry(t, New(Options{}), worker.address, relayOrAbort)
		body, err := call(t, entry.URL, "r")
		assert.Assert(t, err != nil, "%s: relayed as complete: %q", name, body)
	}
}

// TestCompleteResponses checks that unusual but complete responses are relayed.
func TestCompleteResponses(t *testing.T) {
	tests := map[string]string{
		"plain":            completeResponse("r"),
		"chunks":           chunked("r"),
		"twice":            completeResponse("r") + completeResponse("r"),
		"chunks and twice": chunked("r") + completeResponse("r"),
		"after interim":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + completeResponse("r"),
		"bare newlines":    strings.ReplaceAll(completeResponse("r"), "\r\n", "\n"),
	}
	for name, bytes := range tests {
		worker := startWorker(t, respond(func(string) string { return bytes }))
		entry := startEntry(t, New(Options{}), worker.address, relayOrAbort)
		body, err := call(t, entry.URL, "r")
		assert.NilError(t, err, name)
		assert.Equal(t, body, bodyOf("r"), name)
	}
}

// TestTruncationIsReportedBeforeFirstByte checks that a truncated response gives an error response if nothing has been relayed
// yet, and a broken connection otherwise.
func TestTruncationIsReportedBeforeFirstByte(t *testing.T) {
	for cut, broken := range map[string]bool{completeResponse("r")[:len(completeResponse("r"))-1]: false, chunked("r")[:len(chunked("r"))-1]: true} {
		worker := startWorker(t, respond(func(string) string { return cut }))
		entry := startEntry(t, New(Options{}), worker.address, relayOrAbort)
		_, err := call(t, entry.URL, "r")
		assert.Equal(t, errors.Is(err, errTruncated), broken, "%v", err)
		assert.Equal(t, strings.Contains(err.Error(), "outcome unknown"), !broken, "%v", err)
	}
}

// TestHeaderOnlyAndTrailers relays responses without a body, and one with trailers.
func TestHeaderOnlyAndTrailers(t *testing.T) {
	head := "\r\n" + RequestIDHeader + ": r\r\n"
	tests := map[string]struct{ method, response, trailer string }{
		"no content": {http.MethodGet, "HTTP/1.1 204 No Content" + head + "\r\n", ""},
		"unchanged":  {http.MethodGet, "HTTP/1.1 304 Not Modified" + head + "\r\n", ""},
		"head":       {http.MethodHead, "HTTP/1.1 200 OK" + head + "Content-Length: 7\r\n\r\n", ""},
		"trailer": {
			http.MethodGet,
			"HTTP/1.1 200 OK" + head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n1\r\nx\r\n0\r\nSum: 9\r\n\r\n", "9",
		},
	}
	for name, test := range tests {
		worker := startWorker(t, respond(func(string) string { return test.response }))
		entry := startEntry(t, New(Options{}), worker.address, relayOrAbort)
		request, err := http.NewRequestWithContext(t.Context(), test.method, entry.URL, http.NoBody)
		assert.NilError(t, err)
		request.Header.Set("Caller-Id", "r")
		request.Close = true
		resp, err := http.DefaultClient.Do(request)
		assert.NilError(t, err, name)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, errors.Join(err, resp.Body.Close()), name)
		assert.Equal(t, resp.Status, strings.TrimPrefix(strings.SplitN(test.response, "\r\n", 2)[0], "HTTP/1.1 "), name)
		assert.Equal(t, resp.Trailer.Get("Sum"), test.trailer, name)
	}
}

// TestSurplusInAnotherSegment guards against missing surplus bytes that arrive after the declared part of the body.
func TestSurplusInAnotherSegment(t *testing.T) {
	worker := startWorker(t, func(w *rawWorker, conn net.Conn) {
		w.read(conn, bufio.NewReader(conn))
		full := responseWithLength("r", 16)
		split := strings.Index(full, "\r\n\r\n") + 4 + 16
		_, _ = io.WriteString(conn, full[:split])
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(conn, full[split:])
	})
	entry := startEntry(t, New(Options{CloseWait: 5 * time.Second}), worker.address, relayOrAbort)
	body, err := call(t, entry.URL, "r")
	assert.Assert(t, err != nil, "relayed as complete: %q", body)
}

// TestHang checks that BodyIdleTimeout ends a response whose worker stops sending after the header or within the body.
func TestHang(t *testing.T) {
	for _, keep := range []int{len(completeResponse("r")) - len(bodyOf("r")), len(completeResponse("r")) - 1} {
		worker := startWorker(t, func(w *rawWorker, conn net.Conn) {
			reader := bufio.NewReader(conn)
			w.read(conn, reader)
			_, _ = io.WriteString(conn, completeResponse("r")[:keep])
			_, _ = reader.ReadByte() // until the client closes
		})
		client := New(Options{BodyIdleTimeout: 20 * time.Millisecond})
		resp, err := client.Do(t.Context(), Target{Address: worker.address}, Request{Method: "GET", Path: "/", RequestID: "r"})
		assert.NilError(t, err)
		var got bytes.Buffer
		_, err = io.Copy(&got, resp.Body)
		assert.Assert(t, errors.Is(err, errTruncated), "%v", err)
		assert.Equal(t, resp.Outcome().GetKind().String(), "OUTCOME_KIND_UNKNOWN")
		assert.NilError(t, resp.Body.Close())
	}
}

// TestCallerDisconnects checks that the exchange ends when the caller disconnects during a stream.
func TestCallerDisconnects(t *testing.T) {
	workerEnded := make(chan struct{})
	worker := startWorker(t, func(w *rawWorker, conn net.Conn) {
		defer close(workerEnded)
		reader := bufio.NewReader(conn)
		w.read(conn, reader)
		_, _ = io.WriteString(conn, chunked("r")[:len(chunked("r"))-5])
		_, _ = reader.ReadByte()
	})
	client := New(Options{})
	entry := startEntry(t, client, worker.address, relayOrAbort)
	conn, err := net.Dial("tcp", entry.Listener.Addr().String()) //nolint:noctx // The test only needs a caller that disconnects.
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: e\r\nCaller-Id: r\r\n\r\n")
	assert.NilError(t, err)
	_, err = bufio.NewReader(conn).ReadString(';')
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	<-workerEnded
	assert.NilError(t, client.Wait(t.Context()))
}

// FuzzResponse checks that any response accepted as complete has the declared length.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(completeResponse("r")))
	f.Add([]byte(chunked("r")))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\n\nHTTP/1.1 204 No\n\nx"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		worker := startWorker(t, respond(func(string) string { return string(bytes) }))
		resp, err := New(Options{}).Do(t.Context(), Target{Address: worker.address}, Request{Method: "GET", Path: "/", RequestID: "r"})
		if err != nil {
			assert.Assert(t, OutcomeUnknown.Has(err))
			return
		}
		defer func() { _ = resp.Body.Close() }()
		n, err := io.Copy(io.Discard, resp.Body)
		if err == nil && resp.ContentLength >= 0 {
			assert.Equal(t, n, resp.ContentLength)
		}
	})
}
