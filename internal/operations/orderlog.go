package operations

import (
	"context"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/operatorapi"
)

// logOrder logs an accepted order.
func (b *Operations) logOrder(ctx context.Context, description string, repeated bool, args ...any) {
	event := events.OperatorOrder
	if repeated {
		event = events.OrderRepeated
	}
	events.Emit(ctx, b.logger, event, append([]any{"order", description}, args...)...)
}

// logChange logs the outcome of a configuration change, but not that of a dry run.
func (b *Operations) logChange(ctx context.Context, change operatorapi.ConfigChange, result operatorapi.ConfigResult, err error) {
	args := []any{"change", change.ChangeID, "err", err}
	switch {
	case change.DryRun:
	case err == nil:
		b.logOrder(ctx, "apply configuration", result.Repeated, "change", change.ChangeID, "generation", result.Generation)
	case operatorapi.Conflict.Has(err):
		events.Emit(ctx, b.logger, events.ConfigConflict, args...)
	case operatorapi.Unknown.Has(err):
		events.Emit(ctx, b.logger, events.ConfigOutcomeUnknown, args...)
	default:
		events.Emit(ctx, b.logger, events.ConfigRefused, args...)
	}
}

// logWaveOrder logs an operator's stop or resume of a wave.
func (b *Operations) logWaveOrder(ctx context.Context, o operatorapi.WaveControl) {
	switch o.Action {
	case "stop":
		events.Emit(ctx, b.logger, events.WaveStopped, "wave", o.Name, "reason", o.Reason)
	case "resume":
		events.Emit(ctx, b.logger, events.WaveResumed, "wave", o.Name)
	}
}
