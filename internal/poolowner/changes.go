package poolowner

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
)

// silentAfter is how long a worker may be silent before the log tells.
const silentAfter = 2 * time.Second

// hearing tells when a worker falls silent and when it answers again. It is for one goroutine.
type hearing struct {
	owner  *Owner
	worker scheduler.Worker
	last   time.Time
	told   bool
}

func newHearing(o *Owner, w scheduler.Worker) *hearing {
	return &hearing{owner: o, worker: w, last: o.Clock()}
}

func (h *hearing) note(ctx context.Context, err error) {
	now := h.owner.Clock()
	age := now.Sub(h.last)
	switch {
	case err == nil:
		if h.told {
			h.tell(ctx, events.WorkerBack, age)
		}
		h.last, h.told = now, false
	case !h.told && age >= silentAfter && ctx.Err() == nil:
		h.told = true
		h.tell(ctx, events.WorkerSilent, age, slog.String("err", err.Error()))
	}
}

func (h *hearing) tell(ctx context.Context, event events.Event, age time.Duration, more ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("worker", h.worker.ID), slog.String("pool", h.owner.Pool), slog.Uint64("fence", h.owner.Config.Fence),
		slog.Int64("age_ms", age.Milliseconds()),
	}, more...)
	events.Log(ctx, h.owner.Log, event, attrs...)
}

// replaced tells that a higher fence was seen, and drops the pool.
func (o *Owner) replaced(ctx context.Context, seenBy string) {
	events.Log(ctx, o.Log, events.PoolReplaced, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.String("seen_by", seenBy))
	o.Replaced()
}

// tellWorkers logs how the set of workers differs from the one before.
func (o *Owner) tellWorkers(ctx context.Context, before, now []scheduler.Worker) {
	old := make(map[string]scheduler.Worker, len(before))
	for _, w := range before {
		old[w.ID] = w
	}
	var added, changed, draining, unlisted, gone []string
	for _, w := range now {
		was, known := old[w.ID]
		delete(old, w.ID)
		switch {
		case !known:
			added = append(added, w.ID)
			if w.Unlisted {
				unlisted = append(unlisted, w.ID)
			}
		case w.Draining && !was.Draining:
			draining = append(draining, w.ID)
		case w.Unlisted && !was.Unlisted:
			unlisted = append(unlisted, w.ID)
		case w.Born != was.Born || w.Address != was.Address:
			changed = append(changed, w.ID)
		}
	}
	for _, w := range before {
		if _, left := old[w.ID]; left {
			gone = append(gone, w.ID)
		}
	}
	if len(added)+len(changed)+len(draining)+len(unlisted)+len(gone) == 0 {
		return
	}
	events.Log(ctx, o.Log, events.WorkersChanged, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.Int("workers", len(now)), slog.String("added", someOf(added)), slog.String("restarted", someOf(changed)),
		slog.String("draining", someOf(draining)), slog.String("unlisted", someOf(unlisted)), slog.String("gone", someOf(gone)))
}

// someOf names a few and counts the rest.
func someOf(names []string) string {
	return strings.Join(names[:min(len(names), namedWorkers)], ",") + andMore(len(names)-namedWorkers)
}
