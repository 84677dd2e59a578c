// Package events is the catalogue of numbered log events.
//
// A number stands for one kind of event for ever: it is never used for another one, so that alerts and runbooks may
// rely on it. Emit is safe for concurrent use.
package events

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"
)

// Event is one kind of log line.
type Event struct {
	Number  int
	Name    string // snake_case
	Level   slog.Level
	Message string
	// Remedy is what an operator does about it; empty when there is nothing to do.
	Remedy string
	// Reserved marks an event that nothing emits yet.
	Reserved bool
}

// Emit logs the event with its number and name, and with args as slog.Logger.Log takes them.
func Emit(ctx context.Context, logger *slog.Logger, event Event, args ...any) {
	fixed := []any{slog.Int("event", event.Number), slog.String("name", event.Name)}
	if event.Remedy != "" {
		fixed = append(fixed, slog.String("remedy", event.Remedy))
	}
	logger.Log(ctx, event.Level, event.Message, append(fixed, args...)...)
}

// Gate is a handler that bounds the lines of each event. Log asks it before it makes a line.
type Gate interface {
	slog.Handler
	// Admit takes note of a line and reports whether it is written.
	Admit(number int, now time.Time) bool
	// HandleAdmitted is Handle for a line that was admitted already.
	HandleAdmitted(ctx context.Context, r slog.Record) error
}

// Log is Emit with attributes alone. It costs less: there is no place in the source in the line, and a line that a Gate
// leaves out is not made.
func Log(ctx context.Context, logger *slog.Logger, event Event, attrs ...slog.Attr) {
	LogAt(ctx, logger, time.Now(), event, attrs...)
}

// LogAt is Log for what happened at a time a little before.
func LogAt(ctx context.Context, logger *slog.Logger, at time.Time, event Event, attrs ...slog.Attr) {
	handler := logger.Handler()
	if !handler.Enabled(ctx, event.Level) {
		return
	}
	handle := handler.Handle
	if gate, ok := handler.(Gate); ok {
		if !gate.Admit(event.Number, at) {
			return
		}
		handle = gate.HandleAdmitted
	}
	r := slog.NewRecord(at, event.Level, event.Message, 0)
	r.AddAttrs(slog.Int("event", event.Number), slog.String("name", event.Name))
	r.AddAttrs(attrs...)
	if event.Remedy != "" {
		r.AddAttrs(slog.String("remedy", event.Remedy))
	}
	_ = handle(ctx, r) // there is nowhere else to tell
}

// All returns the catalogue in the order of the numbers.
func All() []Event {
	return slices.Clone(catalogue)
}

// Reference is docs/EVENTS.md.
func Reference() []byte {
	var b bytes.Buffer
	b.WriteString("# Log events\n\nGenerated from the package `events`; do not edit. A number never changes its meaning.\n\n")
	b.WriteString("| event | name | level | message | remedy |\n|---|---|---|---|---|\n")
	for _, e := range catalogue {
		message := e.Message
		if e.Reserved {
			message += " (reserved: not emitted yet)"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, message, e.Remedy)
	}
	return b.Bytes()
}
