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
var refusalEvents = map[refusalcode.Code]events.Event{
	refusalcode.QueueFull: events.QueueFull,
	refusalcode.Deadline:  events.RequestShed,
	refusalcode.KeysFull:  events.KeysFull,
	refusalcode.Hopeless:  events.JobPoisonous,
}

// logRefusal logs the refusal if it is one that operators should hear of.
func (s *Server) logRefusal(ctx context.Context, r refusal) {
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
