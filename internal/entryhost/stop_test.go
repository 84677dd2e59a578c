package entryhost

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A goroutine that does not end after a planned stop is named in the log, and does not keep the process from ending.
func TestStopEndsAlthoughAGoroutineHangs(t *testing.T) {
	var log bytes.Buffer
	d := &Daemon{logger: slog.New(slog.NewTextHandler(&log, nil))}
	release := make(chan struct{})
	d.startLoop(func() { hang(release) })
	err := d.awaitLoops(t.Context(), 10*time.Millisecond)
	assert.Assert(t, errStopHangs.Has(err))
	assert.Assert(t, strings.Contains(log.String(), "entryhost.hang"), log.String())
	close(release)
	assert.NilError(t, d.awaitLoops(t.Context(), time.Minute))
}

//go:noinline
func hang(release <-chan struct{}) { <-release }
