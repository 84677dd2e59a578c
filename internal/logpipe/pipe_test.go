package logpipe_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/logpipe"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func newTextHandler(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) }

// stalledWriter blocks each write until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func (s *stalledWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

var errBlocked = errors.New("a logging goroutine was blocked by the log")

// logEvents logs every event of the catalogue in each round, and fails if that takes longer than 3 s.
func logEvents(t *testing.T, logger *slog.Logger, rounds int) error {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { <-done })
	go func() {
		defer close(done)
		for i := range rounds {
			for _, e := range events.All() {
				events.Log(context.Background(), logger, e, slog.Int("number", i))
			}
		}
	}()
	select {
	case <-done:
		return nil
	case <-time.After(3 * time.Second):
		return errBlocked
	}
}

// TestStalledReaderDoesNotBlockLoggers first checks that a logger without the pipe is blocked by the same reader.
func TestStalledReaderDoesNotBlockLoggers(t *testing.T) {
	const rounds = 30
	direct := &stalledWriter{release: make(chan struct{})}
	assert.ErrorIs(t, logEvents(t, slog.New(newTextHandler(direct)), rounds), errBlocked)
	close(direct.release)

	out := &stalledWriter{release: make(chan struct{})}
	pipe := logpipe.New(out)
	logger := pipe.Logger(newTextHandler)
	assert.NilError(t, logEvents(t, logger, rounds))
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	pipe.Close(short) // returns although the reader still stalls
	close(out.release)
	pipe.Close(t.Context())
	assert.Assert(t, pipe.Dropped() > 0)
	assert.Assert(t, strings.Contains(out.String(), "event=111"), "%s", out)
}

func TestLinesBeyondTheRateLimitAreCounted(t *testing.T) {
	var out bytes.Buffer
	pipe := logpipe.New(&out)
	logger := pipe.Logger(newTextHandler).With("entry_host", "e1")
	for range 1000 {
		events.Log(t.Context(), logger, events.JobRefused, slog.String("job", "j"))
	}
	events.Log(t.Context(), logger, events.JobAccepted, slog.String("job", "other"))
	pipe.Close(t.Context())
	written := strings.Count(out.String(), "event=908")
	assert.Assert(t, written >= 300 && written < 400, "%d", written)
	assert.Assert(t, strings.Contains(out.String(), "event=907"), "one event must not use up the rate limit of another")
	assert.Assert(t, strings.Contains(out.String(), "event=111"), out.String())
	left := 0
	for _, field := range strings.Fields(out.String()) {
		if value, ok := strings.CutPrefix(field, "job_refused="); ok {
			for _, c := range value {
				left = left*10 + int(c-'0')
			}
		}
	}
	assert.Equal(t, written+left, 1000)
}

func TestLongLineIsTruncated(t *testing.T) {
	var out bytes.Buffer
	pipe := logpipe.New(&out)
	pipe.Logger(newTextHandler).Info(strings.Repeat("x", 1<<20))
	pipe.Close(t.Context())
	assert.Assert(t, out.Len() <= 2<<10 && strings.HasSuffix(out.String(), "\n"), "%d", out.Len())
}

func attrs() []slog.Attr {
	return []slog.Attr{
		slog.String("job", "5c0e7a21d94b36f8"), slog.Int("status", 200), slog.String("queue", "q-1"),
		slog.String("pool", "allergens"), slog.Int64("took_ms", 14), slog.Int64("store_age_ms", 120),
		slog.Int64("config_version", 7), slog.String("store_access", "open"), slog.Int("peers_asked", 0),
	}
}

// BenchmarkSuppressedLine measures what a line beyond the rate limit costs the logging goroutine.
func BenchmarkSuppressedLine(b *testing.B) {
	pipe := logpipe.New(io.Discard)
	logger := pipe.Logger(newTextHandler).With("entry_host", "e1")
	b.ReportAllocs()
	for b.Loop() {
		events.Log(b.Context(), logger, events.JobAccepted, attrs()...)
	}
	b.StopTimer()
	pipe.Close(b.Context())
}

// BenchmarkFormatLine measures what formatting a line costs the logging goroutine.
func BenchmarkFormatLine(b *testing.B) {
	logger := slog.New(newTextHandler(io.Discard)).With("entry_host", "e1")
	b.ReportAllocs()
	for b.Loop() {
		events.Log(b.Context(), logger, events.JobAccepted, attrs()...)
	}
}
