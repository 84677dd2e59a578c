package logpipe

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/agateturn/agateturn/events"
)

const (
	// linesPerSecond and burst bound the lines of one event.
	linesPerSecond = 50
	burst          = 300
	// unnumbered is the kind of lines without an event's number.
	unnumbered = 0
)

// limits is a token bucket for each event. It is safe for concurrent use.
type limits struct {
	mu sync.Mutex
	// buckets is keyed by the numbers of the catalogue, which bound it.
	buckets map[int64]*bucket
	known   map[int64]bool
}

type bucket struct {
	tokens float64
	filled time.Time
	// leftOut counts the lines since the last one that passed or was reported.
	leftOut int64
}

func newLimits() *limits {
	l := &limits{buckets: map[int64]*bucket{}, known: map[int64]bool{}}
	for _, e := range events.All() {
		l.known[int64(e.Number)] = true
	}
	return l
}

// admit takes a token of the event.
func (l *limits) admit(number int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[number] {
		number = unnumbered
	}
	b := l.buckets[number]
	if b == nil {
		b = &bucket{tokens: burst, filled: now}
		l.buckets[number] = b
	}
	b.tokens = min(burst, b.tokens+max(0, now.Sub(b.filled).Seconds())*linesPerSecond)
	if now.After(b.filled) {
		b.filled = now
	}
	if b.tokens < 1 {
		b.leftOut++
		return false
	}
	b.tokens--
	return true
}

// take returns the counts of what was left out, by event, and begins anew.
func (l *limits) take() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []any
	for _, e := range events.All() {
		if b := l.buckets[int64(e.Number)]; b != nil && b.leftOut > 0 {
			out = append(out, slog.Int64(e.Name, b.leftOut))
			b.leftOut = 0
		}
	}
	if b := l.buckets[unnumbered]; b != nil && b.leftOut > 0 {
		out = append(out, slog.Int64(strconv.Itoa(unnumbered), b.leftOut))
		b.leftOut = 0
	}
	return out
}

var _ events.Gate = limited{}

// limited passes on the lines that the limits admit.
type limited struct {
	slog.Handler
	limits *limits
}

// Handle implements slog.Handler.
func (h limited) Handle(ctx context.Context, r slog.Record) error {
	if !h.limits.admit(numberOf(r), r.Time) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// Admit implements events.Gate.
func (h limited) Admit(number int, now time.Time) bool { return h.limits.admit(int64(number), now) }

// HandleAdmitted implements events.Gate.
func (h limited) HandleAdmitted(ctx context.Context, r slog.Record) error {
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limited{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h limited) WithGroup(name string) slog.Handler {
	return limited{Handler: h.Handler.WithGroup(name), limits: h.limits}
}

// numberOf is the event's number, which events.Emit puts first.
func numberOf(r slog.Record) int64 {
	number := int64(unnumbered)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "event" && a.Value.Kind() == slog.KindInt64 {
			number = a.Value.Int64()
		}
		return false
	})
	return number
}
