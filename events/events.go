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
)

// fixedAttrs is the number of attributes that each line may have besides its own.
const fixedAttrs = 3

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

// Log is Emit with attributes alone, which costs less.
func Log(ctx context.Context, logger *slog.Logger, event Event, attrs ...slog.Attr) {
	if !logger.Enabled(ctx, event.Level) {
		return
	}
	all := make([]slog.Attr, 0, fixedAttrs+len(attrs))
	all = append(all, slog.Int("event", event.Number), slog.String("name", event.Name))
	if event.Remedy != "" {
		all = append(all, slog.String("remedy", event.Remedy))
	}
	logger.LogAttrs(ctx, event.Level, event.Message, append(all, attrs...)...)
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
