package fleetowner

import (
	"context"
	"log/slog"
	"time"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/wait"
)

const (
	listTimeout = 2 * time.Second
	// busyListInterval and idleListInterval are the intervals between lists of hosts.
	busyListInterval = 300 * time.Millisecond
	idleListInterval = 2 * time.Second
	// minListInterval is the minimum interval between lists that are requested at once.
	minListInterval = 60 * time.Millisecond
	// busyCheckInterval is how often the idle lister checks whether the term became busy.
	busyCheckInterval = 100 * time.Millisecond
)

// listHosts polls the list of hosts and posts it to the loop.
func (t *term) listHosts(ctx context.Context) error {
	var failingSince time.Time
	for {
		if err := t.readLimiter.wait(ctx); err != nil {
			return err
		}
		sent := t.Clock()
		err := t.listOnce(ctx, sent)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		failingSince = t.logListOutcome(ctx, failingSince, sent, err)
		pause := minListInterval
		if err != nil {
			pause = busyListInterval
		}
		if err := t.awaitNextList(ctx, sent, pause); err != nil {
			return err
		}
	}
}

// awaitNextList waits until the list is to be read again, for the pause at least.
func (t *term) awaitNextList(ctx context.Context, sent time.Time, pause time.Duration) error {
	for t.untilNextList(sent) > 0 {
		timer := time.NewTimer(min(busyCheckInterval, t.untilNextList(sent)))
		select {
		case <-t.listNow:
			timer.Stop()
			return wait.For(ctx, pause-t.Clock().Sub(sent))
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
	return nil
}

func (t *term) untilNextList(sent time.Time) time.Duration {
	interval := idleListInterval
	if t.busy.Load() || t.listOften.Load() {
		interval = busyListInterval
	}
	return interval - t.Clock().Sub(sent)
}

// logListOutcome logs the first failed list in a row and the first success after it. It returns the time since when
// lists have failed; zero if the last one succeeded.
func (t *term) logListOutcome(ctx context.Context, failingSince, sent time.Time, err error) time.Time {
	if err == nil && !failingSince.IsZero() {
		events.Log(ctx, t.Logger, events.MachinesRead, slog.Uint64("fence", t.fence),
			slog.Int64("age_ms", t.Clock().Sub(failingSince).Milliseconds()))
	}
	if err == nil {
		return time.Time{}
	}
	if !failingSince.IsZero() {
		return failingSince
	}
	events.Log(ctx, t.Logger, events.MachinesUnread, slog.Uint64("fence", t.fence), slog.String("err", err.Error()))
	return sent
}

// listOnce requests the list once and posts it to the loop.
func (t *term) listOnce(ctx context.Context, sent time.Time) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := t.Hosts.List(call)
	if err != nil {
		return err
	}
	return t.post(ctx, func(time.Time) {
		t.hosts = hosts
		t.listedAt = sent
		t.index = newHostIndex(sent, hosts)
	})
}
