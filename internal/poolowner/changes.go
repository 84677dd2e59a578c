package poolowner

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/scheduler"
)

// silenceThreshold is how long a worker may fail to answer before this is logged.
const silenceThreshold = 2 * time.Second

// silenceMonitor logs when a worker stops answering and when it answers again. It is not safe for concurrent use.
type silenceMonitor struct {
	owner      *Owner
	worker     scheduler.Worker
	lastAnswer time.Time
	// logged means that the silence has been logged, replacedLogged that another worker has answered since.
	logged, replacedLogged bool
}

func newSilenceMonitor(o *Owner, w scheduler.Worker) *silenceMonitor {
	return &silenceMonitor{owner: o, worker: w, lastAnswer: o.Clock()}
}

// observe applies the outcome of a hold. gone means that another worker has answered.
func (m *silenceMonitor) observe(ctx context.Context, gone bool, err error) {
	now := m.owner.Clock()
	age := now.Sub(m.lastAnswer)
	switch {
	case gone:
		if !m.replacedLogged {
			m.log(ctx, events.WorkerReplaced, age)
		}
		m.replacedLogged = true
	case err == nil:
		if m.logged {
			m.log(ctx, events.WorkerBack, age)
		}
		m.lastAnswer, m.logged, m.replacedLogged = now, false, false
	case !m.logged && age >= silenceThreshold && ctx.Err() == nil:
		m.logged = true
		m.log(ctx, events.WorkerSilent, age, slog.String("err", err.Error()))
	}
}

func (m *silenceMonitor) log(ctx context.Context, event events.Event, age time.Duration, extra ...slog.Attr) {
	attrs := append([]slog.Attr{
		slog.String("worker", m.worker.ID), slog.String("pool", m.owner.Pool), slog.Uint64("fence", m.owner.Config.Fence),
		slog.Int64("age_ms", age.Milliseconds()),
	}, extra...)
	events.Log(ctx, m.owner.Log, event, attrs...)
}

// handleReplaced logs that a higher fence was seen, and calls Replaced.
func (o *Owner) handleReplaced(ctx context.Context, seenBy string) {
	events.Log(ctx, o.Log, events.PoolReplaced, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.String("seen_by", seenBy))
	o.Replaced()
}

// logWorkerChanges logs the difference between two sets of workers.
func (o *Owner) logWorkerChanges(ctx context.Context, before, after []scheduler.Worker) {
	old := make(map[string]scheduler.Worker, len(before))
	for _, w := range before {
		old[w.ID] = w
	}
	var added, restarted, draining, unlisted, gone []string
	for _, w := range after {
		previous, known := old[w.ID]
		delete(old, w.ID)
		switch {
		case !known:
			added = append(added, w.ID)
			if w.Unlisted {
				unlisted = append(unlisted, w.ID)
			}
		case w.Draining && !previous.Draining:
			draining = append(draining, w.ID)
		case w.Unlisted && !previous.Unlisted:
			unlisted = append(unlisted, w.ID)
		case w.Born != previous.Born || w.Address != previous.Address:
			restarted = append(restarted, w.ID)
		}
	}
	for _, w := range before {
		if _, remains := old[w.ID]; remains {
			gone = append(gone, w.ID)
		}
	}
	if len(added)+len(restarted)+len(draining)+len(unlisted)+len(gone) == 0 {
		return
	}
	events.Log(ctx, o.Log, events.WorkersChanged, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.Int("workers", len(after)), slog.String("added", joinLimited(added)), slog.String("restarted", joinLimited(restarted)),
		slog.String("draining", joinLimited(draining)), slog.String("unlisted", joinLimited(unlisted)), slog.String("gone", joinLimited(gone)))
}

// joinLimited joins the first maxLoggedWorkers names and counts the rest.
func joinLimited(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedWorkers)], ",") + omittedSuffix(len(names)-maxLoggedWorkers)
}
