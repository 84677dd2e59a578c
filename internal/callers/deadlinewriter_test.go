package callers

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against truncating an answer because the worker pauses, within it or at its end, for longer than the timeout.
func TestDeadlineWriterAllowsPausesOfWorker(t *testing.T) {
	const timeout = 20 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writer := &deadlineWriter{ResponseWriter: w, timeout: timeout}
		for range 3 {
			_, _ = io.WriteString(writer, "part ")
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(3 * timeout)
		}
		_ = writer.extend()
	}))
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "part part part ")
}

// slowWriter takes one second for each write.
type slowWriter struct{ http.ResponseWriter }

func (slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	return len(p), nil
}

// Guards against counting the time for which the caller blocks writes as the worker's run time.
func TestDeadlineWriterCountsBlockedWritesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := &deadlineWriter{ResponseWriter: slowWriter{httptest.NewRecorder()}, timeout: time.Minute}
		for range 3 {
			_, err := io.WriteString(writer, "part ")
			assert.NilError(t, err)
			time.Sleep(10 * time.Second) // the worker sends nothing
		}
		assert.Equal(t, writer.blocked, 3*time.Second)
	})
}
