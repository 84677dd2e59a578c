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
	// linesPerSecond and burst are the rate and the size of each event's token bucket.
	linesPerSecond = 50
	burst          = 300
	// unnumbered is the bucket of lines without a known event number.
	unnumbered = 0
)

// limiter is a rate limiter with a token bucket for each event. It is safe for concurrent use.
type limiter struct {
	mu sync.Mutex
	// buckets is keyed by event number. Only numbers of the catalogue and unnumbered occur, which bounds its size.
	buckets map[int64]*bucket
	known   map[int64]bool
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	// suppressed counts the lines dropped by the rate limit since the last report.
	suppressed int64
}

func newLimiter() *limiter {
	l := &limiter{buckets: map[int64]*bucket{}, known: map[int64]bool{}}
	for _, e := range events.All() {
		l.known[int64(e.Number)] = true
	}
	return l
}

// admit takes a token from the event's bucket, and reports whether there was one.
func (l *limiter) admit(number int64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known[number] {
		number = unnumbered
	}
	b := l.buckets[number]
	if b == nil {
		b = &bucket{tokens: burst, refilledAt: now}
		l.buckets[number] = b
	}
	b.tokens = min(burst, b.tokens+max(0, now.Sub(b.refilledAt).Seconds())*linesPerSecond)
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	if b.tokens < 1 {
		b.suppressed++
		return false
	}
	b.tokens--
	return true
}

// takeSuppressed returns the number of suppressed lines by event, and resets the counts.
func (l *limiter) takeSuppressed() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []any
	for _, e := range events.All() {
		if b := l.buckets[int64(e.Number)]; b != nil && b.suppressed > 0 {
			out = append(out, slog.Int64(e.Name, b.suppressed))
			b.suppressed = 0
		}
	}
	if b := l.buckets[unnumbered]; b != nil && b.suppressed > 0 {
		out = append(out, slog.Int64(strconv.Itoa(unnumbered), b.suppressed))
		b.suppressed = 0
	}
	return out
}

var _ events.Gate = limitedHandler{}

// limitedHandler passes on the records that the rate limiter admits.
type limitedHandler struct {
	slog.Handler
	limiter *limiter
}

// Handle implements slog.Handler.
func (h limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limiter.admit(numberOf(r), r.Time) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// Admit implements events.Gate.
func (h limitedHandler) Admit(number int, now time.Time) bool {
	return h.limiter.admit(int64(number), now)
}

// HandleAdmitted implements events.Gate.
func (h limitedHandler) HandleAdmitted(ctx context.Context, r slog.Record) error {
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithAttrs(attrs), limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h limitedHandler) WithGroup(name string) slog.Handler {
	return limitedHandler{Handler: h.Handler.WithGroup(name), limiter: h.limiter}
}

// numberOf returns the event number, which events.Emit puts first, or unnumbered.
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
