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

// A silence of the worker that is longer than the timeout does not cut the answer, at its end or before.
func TestSteadyWriterAllowsSilence(t *testing.T) {
	const timeout = 20 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		steady := &steadyWriter{ResponseWriter: w, timeout: timeout}
		for range 3 {
			_, _ = io.WriteString(steady, "part ")
			_ = http.NewResponseController(steady).Flush()
			time.Sleep(3 * timeout)
		}
		_ = steady.extend()
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

// slowWriter is a caller that takes a second for each part.
type slowWriter struct{ http.ResponseWriter }

func (slowWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	return len(p), nil
}

// Guards against the time that a caller takes for its answer being learned as the worker's run time.
func TestSteadyWriterCountsWaitsForItsCallerOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steady := &steadyWriter{ResponseWriter: slowWriter{httptest.NewRecorder()}, timeout: time.Minute}
		for range 3 {
			_, err := io.WriteString(steady, "part ")
			assert.NilError(t, err)
			time.Sleep(10 * time.Second) // the worker's silence
		}
		assert.Equal(t, steady.heldUp, 3*time.Second)
	})
}
