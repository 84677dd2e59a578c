package callers

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/refusalcode"
	"github.com/agateturn/agateturn/upstream"
)

// minRepeatInterval is the shortest interval between two log lines of the same event. It bounds the log volume, because a
// single caller can trigger these events at will.
const minRepeatInterval = 10 * time.Second

// throttle allows each event at most once per minRepeatInterval. Its zero value is ready to use. It is safe for concurrent
// use.
type throttle struct {
	mu   sync.Mutex
	last map[int]time.Time // by event number
}

func (t *throttle) allow(event events.Event, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, known := t.last[event.Number]; known && now.Sub(last) < minRepeatInterval {
		return false
	}
	if t.last == nil {
		t.last = map[int]time.Time{}
	}
	t.last[event.Number] = now
	return true
}

// refusalEvents maps the refusal codes that are logged to their events.
var refusalEvents = map[refusalcode.Code]events.Event{
	refusalcode.QueueFull: events.QueueFull,
	refusalcode.Deadline:  events.RequestShed,
	refusalcode.KeysFull:  events.KeysFull,
	refusalcode.PoisonJob: events.JobPoisonous,
}

// logRefusal logs the refusal if its code has an event and the throttle allows it.
func (s *Server) logRefusal(ctx context.Context, r refusal) {
	event, known := refusalEvents[r.code]
	if known && s.throttle.allow(event, time.Now()) {
		events.Emit(ctx, s.logger, event, "reason", r.reason)
	}
}

// relayErrorEvent returns AnswerCut for an answer aborted after a part of it was sent, unless the caller disconnected, and
// OutcomeUnknown otherwise.
func relayErrorEvent(ctx context.Context, err error) events.Event {
	if upstream.Aborted.Has(err) && !errors.Is(ctx.Err(), context.Canceled) {
		return events.AnswerCut
	}
	return events.OutcomeUnknown
}
