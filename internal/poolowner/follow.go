package poolowner

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/scheduler"
)

// loadRetry is the pause between attempts to read the records of a pool.
const loadRetry = 200 * time.Millisecond

// follow reads the records of the pool, then hands in what is accepted and cancelled.
func (o *Owner) follow(ctx context.Context) error {
	asOf, ok := o.load(ctx)
	for ok && ctx.Err() == nil {
		err := o.Jobs.Follow(ctx, o.Pool, asOf, func(c jobstore.Change) { o.change(ctx, c) })
		if err != nil && ctx.Err() == nil {
			o.tellUnread(ctx, "follow", err)
		}
		_ = wait.For(ctx, loadRetry)
	}
	return nil
}

func (o *Owner) load(ctx context.Context) (asOf uint64, ok bool) {
	for ctx.Err() == nil {
		snapshot, intents, asOf, err := o.read(ctx)
		if err == nil {
			return asOf, o.start(ctx, snapshot, intents)
		}
		o.tellUnread(ctx, "load", err)
		_ = wait.For(ctx, loadRetry)
	}
	return 0, false
}

// read reads the records of the pool and the intents of the fleet's owner.
func (o *Owner) read(ctx context.Context) (snapshot jobstore.Snapshot, intents Intents, asOf uint64, err error) {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		snapshot, asOf, err = o.Jobs.Load(ctx, o.Pool)
		return err
	})
	group.Go(func() (err error) {
		intents, err = o.Intents(ctx)
		return err
	})
	err = group.Wait()
	return snapshot, intents, asOf, err
}

func (o *Owner) tellUnread(ctx context.Context, call string, err error) {
	events.Log(ctx, o.Log, events.RecordsUnread, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.String("call", call), slog.String("err", err.Error()))
}

func (o *Owner) start(ctx context.Context, s jobstore.Snapshot, intents Intents) bool {
	took := o.Clock().Sub(o.began)
	o.Metrics.tookOver(took)
	events.Log(ctx, o.Log, events.RecordsLoaded, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.Int("jobs", len(s.Jobs)), slog.Int("progress", len(s.Progress)), slog.Int("cancelled", len(s.Cancelled)),
		slog.Int("leaving", len(intents.Hosts)),
		slog.Int64("took_ms", took.Milliseconds()))
	_, ok := ask(ctx, o, func(p *scheduler.Pool, now time.Time) struct{} {
		o.lists.fence = intents.FleetFence
		p.SetLeavingHosts(intents.Hosts)
		p.Load(now, s.Jobs, s.Progress, s.Cancelled)
		close(o.loaded)
		return struct{}{}
	})
	return ok
}

func (o *Owner) change(ctx context.Context, c jobstore.Change) {
	o.put(ctx, func(p *scheduler.Pool, now time.Time) {
		if c.Job != nil {
			p.Add(now, c.Job)
		}
		if c.Cancelled != "" {
			p.Cancel(now, c.Cancelled)
		}
	})
}
