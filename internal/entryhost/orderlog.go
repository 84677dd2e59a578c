package entryhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateturn/agateturn/controller"
	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/operatorapi"
	"github.com/agateturn/agateturn/upstream"
)

// repeatGap is the shortest time between two log lines of an event that a single caller can cause at will.
const repeatGap = 10 * time.Second

// throttle lets each event through at most once in repeatGap. The zero value is ready; it is safe for concurrent use.
type throttle struct {
	mu   sync.Mutex
	last map[int]time.Time // by event number
}

func (t *throttle) allow(event events.Event, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, known := t.last[event.Number]; known && now.Sub(last) < repeatGap {
		return false
	}
	if t.last == nil {
		t.last = map[int]time.Time{}
	}
	t.last[event.Number] = now
	return true
}

// refusalEvents are the refusals that are also logged.
var refusalEvents = map[refusalCode]events.Event{
	codeQueueFull: events.QueueFull,
	codeDeadline:  events.RequestShed,
	codeKeysFull:  events.KeysFull,
	codeHopeless:  events.JobPoisonous,
}

// logRefusal logs the refusal if it is one that operators should hear of.
func (s *callerServer) logRefusal(ctx context.Context, r refusal) {
	event, known := refusalEvents[r.code]
	if known && s.throttle.allow(event, time.Now()) {
		events.Emit(ctx, s.logger, event, "reason", r.reason)
	}
}

// cutEvent tells a worker's cut answer from other answers that were not passed on whole.
func cutEvent(ctx context.Context, err error) events.Event {
	if upstream.Aborted.Has(err) && !errors.Is(ctx.Err(), context.Canceled) {
		return events.AnswerCut
	}
	return events.OutcomeUnknown
}

// logOrder logs an order that was taken.
func (d *Daemon) logOrder(ctx context.Context, what string, repeated bool, args ...any) {
	event := events.OperatorOrder
	if repeated {
		event = events.OrderRepeated
	}
	events.Emit(ctx, d.logger, event, append([]any{"order", what}, args...)...)
}

// logChange logs what became of a configuration.
func (d *Daemon) logChange(ctx context.Context, change operatorapi.ConfigChange, result operatorapi.ConfigResult, err error) {
	args := []any{"change", change.ChangeID, "err", err}
	switch {
	case change.DryRun:
	case err == nil:
		d.logOrder(ctx, "apply configuration", result.Repeated, "change", change.ChangeID, "generation", result.Generation)
	case operatorapi.Conflict.Has(err):
		events.Emit(ctx, d.logger, events.ConfigConflict, args...)
	case operatorapi.Unknown.Has(err):
		events.Emit(ctx, d.logger, events.ConfigOutcomeUnknown, args...)
	default:
		events.Emit(ctx, d.logger, events.ConfigRefused, args...)
	}
}

// logWaveOrder logs an operator's order to a wave.
func (d *Daemon) logWaveOrder(ctx context.Context, o operatorapi.WaveControl) {
	switch o.Action {
	case "stop":
		events.Emit(ctx, d.logger, events.WaveStopped, "wave", o.Name, "reason", o.Reason)
	case "resume":
		events.Emit(ctx, d.logger, events.WaveResumed, "wave", o.Name)
	}
}

// noteEvents are the events of the controller's notes; the others are logged as fleet_applied.
var noteEvents = map[controller.NoteKind]events.Event{
	controller.NoteWaveStopped: events.WaveStoppedItself,
	controller.NoteWaveWaits:   events.WaveWaiting,
}

func eventOf(kind controller.NoteKind) events.Event {
	if event, known := noteEvents[kind]; known {
		return event
	}
	return events.FleetApplied
}
