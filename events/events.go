// Package events is the catalogue of numbered log events.
//
// A number identifies one kind of event permanently and is never reused, so alerts and runbooks can rely on it.
// Emit is safe for concurrent use.
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
	// Remedy tells the operator how to respond. It is empty if no action is needed.
	Remedy string
	// Reserved marks an event that nothing emits yet.
	Reserved bool
}

// Emit logs the event with its number, name and remedy. It accepts the same args as slog.Logger.Log.
func Emit(ctx context.Context, logger *slog.Logger, event Event, args ...any) {
	fixed := []any{slog.Int("event", event.Number), slog.String("name", event.Name)}
	if event.Remedy != "" {
		fixed = append(fixed, slog.String("remedy", event.Remedy))
	}
	logger.Log(ctx, event.Level, event.Message, append(fixed, args...)...)
}

// Gate is a handler that limits the number of lines of each event. Log calls Admit before it builds a record.
type Gate interface {
	slog.Handler
	// Admit counts a line of the event and reports whether to write it.
	Admit(number int, now time.Time) bool
	// HandleAdmitted handles a record that Admit has already admitted.
	HandleAdmitted(ctx context.Context, r slog.Record) error
}

// Log is a cheaper form of Emit that takes only attributes. It does not record the source position, and it builds no
// record for a line that a Gate drops.
func Log(ctx context.Context, logger *slog.Logger, event Event, attrs ...slog.Attr) {
	LogAt(ctx, logger, time.Now(), event, attrs...)
}

// LogAt is Log for an event that happened at the given time.
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
	_ = handle(ctx, r) // a failed log write cannot be reported anywhere else
}

// All returns the catalogue in ascending order of numbers.
func All() []Event {
	return slices.Clone(catalogue)
}

// Reference returns the content of docs/EVENTS.md.
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
