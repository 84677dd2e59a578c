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
	// listBusy and listIdle are the times between lists of hosts.
	listBusy = 300 * time.Millisecond
	listIdle = 2 * time.Second
	// listCheck is how often the idle lister looks whether it became busy.
	listCheck = 100 * time.Millisecond
)

// list brings lists of hosts to the loop.
func (t *term) list(ctx context.Context) error {
	var unreadSince time.Time
	for {
		if err := t.reads.wait(ctx); err != nil {
			return err
		}
		sent := t.Clock()
		err := t.listOnce(ctx, sent)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		unreadSince = t.tellListed(ctx, unreadSince, sent, err)
		for t.listWait(sent) > 0 {
			if err := wait.For(ctx, min(listCheck, t.listWait(sent))); err != nil {
				return err
			}
		}
	}
}

func (t *term) listWait(sent time.Time) time.Duration {
	interval := listIdle
	if t.busy.Load() {
		interval = listBusy
	}
	return interval - t.Clock().Sub(sent)
}

// tellListed logs the first list in a row that failed and the first that was read again. It returns since when none was
// read; zero if the last one was.
func (t *term) tellListed(ctx context.Context, unreadSince, sent time.Time, err error) time.Time {
	if err == nil && !unreadSince.IsZero() {
		events.Log(ctx, t.Logger, events.MachinesRead, slog.Uint64("fence", t.fence),
			slog.Int64("age_ms", t.Clock().Sub(unreadSince).Milliseconds()))
	}
	if err == nil {
		return time.Time{}
	}
	if !unreadSince.IsZero() {
		return unreadSince
	}
	events.Log(ctx, t.Logger, events.MachinesUnread, slog.Uint64("fence", t.fence), slog.String("err", err.Error()))
	return sent
}

// listOnce brings one list to the loop.
func (t *term) listOnce(ctx context.Context, sent time.Time) error {
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := t.Hosts.List(call)
	if err != nil {
		return err
	}
	return t.tell(ctx, func(time.Time) {
		t.hosts = hosts
		t.listedAt = sent
	})
}
