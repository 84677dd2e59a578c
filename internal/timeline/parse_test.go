package timeline_test

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/timeline"
)

// TestParseReadsWhatTheDaemonWrites covers both log formats, with and without the prefix of a log collector.
func TestParseReadsWhatTheDaemonWrites(t *testing.T) {
	formats := map[string]func(io.Writer) slog.Handler{
		"text": func(w io.Writer) slog.Handler { return slog.NewTextHandler(w, nil) },
		"json": func(w io.Writer) slog.Handler { return slog.NewJSONHandler(w, nil) },
	}
	for name, newHandler := range formats {
		for _, prefix := range []string{"", "12.345 entry-1 | "} {
			var b bytes.Buffer
			logger := slog.New(newHandler(&b)).With("entry_host", "e1")
			events.Log(t.Context(), logger, events.JobRefused, slog.String("job", "a"),
				slog.String("reason", `not "stored" = x`), slog.Int64("took_ms", 3))
			l, ok := timeline.Parse(prefix + b.String())
			assert.Assert(t, ok, "%s: %s", name, b.String())
			assert.Equal(t, l.Event, events.JobRefused.Number)
			assert.Equal(t, l.Name+l.Host, "job_refusede1")
			assert.Equal(t, l.Get("reason"), `not "stored" = x`)
			assert.Equal(t, l.Get("took_ms"), "3")
			assert.Assert(t, time.Since(l.Time) < time.Minute)
		}
	}
	for _, invalid := range []string{"", "time=", "time=x event=907", `{"time":`, `{"time":1}`, `time="a`, "panic: x"} {
		_, ok := timeline.Parse(invalid)
		assert.Assert(t, !ok, invalid)
	}
}

const logs = `
time=2026-01-01T10:00:00Z level=INFO msg=x entry_host=e1 event=901 name=pool_gained pool=p fence=3
time=2026-01-01T10:00:01Z level=INFO msg=x entry_host=e1 event=921 name=workers_changed pool=p workers=4 added=w1
time=2026-01-01T10:00:02Z level=INFO msg=x entry_host=e1 event=921 name=workers_changed pool=p workers=3 gone=w4
time=2026-01-01T10:00:02Z level=INFO msg=x entry_host=e1 event=921 name=workers_changed pool=other workers=9
time=2026-01-01T11:00:00Z level=INFO msg=x entry_host=e2 event=907 name=job_accepted job=a pool=p
time=2026-01-01T11:00:01Z level=INFO msg=x entry_host=e1 event=927 name=tasks_started job=a pool=p workers=w1,w2
time=2026-01-01T11:00:01Z level=INFO msg=x entry_host=e1 event=927 name=tasks_started job=b pool=p workers=w1
time=2026-01-01T11:00:02Z level=INFO msg=x entry_host=e1 event=923 name=worker_silent pool=p worker=w2
time=2026-01-01T11:00:02Z level=INFO msg=x entry_host=e1 event=923 name=worker_silent pool=p worker=w3
time=2026-01-01T11:00:02Z level=WARN msg=x entry_host=e2 event=201 name=store_unreachable
time=2026-01-01T11:00:02Z level=WARN msg=x entry_host=e3 event=201 name=store_unreachable
time=2026-01-01T11:00:09Z level=INFO msg=x entry_host=e1 event=934 name=job_completed job=a pool=p
time=2026-01-01T12:00:00Z level=INFO msg=x entry_host=e1 event=902 name=pool_lost pool=p fence=3
`

func TestJoinShowsTheJobAndItsContext(t *testing.T) {
	found, err := timeline.Join(strings.NewReader(logs), "a")
	assert.NilError(t, err)
	var got []string
	for _, l := range found {
		got = append(got, l.Name+" "+l.Get("workers")+l.Get("worker")+" "+l.Host)
	}
	assert.DeepEqual(t, got, []string{
		"pool_gained  e1", "workers_changed 3 e1", "job_accepted  e2", "tasks_started w1,w2 e1", "worker_silent w2 e1",
		"store_unreachable  e2", "job_completed  e1",
	})
	found, err = timeline.Join(strings.NewReader(logs), "none")
	assert.Assert(t, err == nil && len(found) == 0)
	_, err = timeline.Join(io.MultiReader(strings.NewReader(logs), failingReader{}), "a")
	assert.ErrorIs(t, err, errRead)
}

// TestJoinKeepsTheOrderOfSimultaneousLines mixes lines that name the job with others, all in the same millisecond.
func TestJoinKeepsTheOrderOfSimultaneousLines(t *testing.T) {
	const stamp = "time=2026-01-01T10:00:00.238Z level=INFO msg=x entry_host=e1 "
	names := []string{"job_accepted job=a", "pool_gained", "step_done job=a", "worker_silent", "job_completed job=a", "pool_lost"}
	var text strings.Builder
	for _, name := range names {
		text.WriteString(stamp + "event=901 pool=p name=" + name + "\n")
	}
	found, err := timeline.Join(strings.NewReader(text.String()), "a")
	assert.NilError(t, err)
	var got []string
	for _, l := range found {
		got = append(got, l.Name)
	}
	assert.DeepEqual(t, got, []string{"job_accepted", "pool_gained", "step_done", "worker_silent", "job_completed", "pool_lost"})
}

var errRead = errors.New("reading the logs failed")

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errRead }
