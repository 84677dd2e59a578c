package poolowner

import (
	"context"
	"time"

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
			o.Log.Warn("cannot follow new jobs", "pool", o.Pool, "err", err)
		}
		sleep(ctx, loadRetry)
	}
	return nil
}

func (o *Owner) load(ctx context.Context) (asOf uint64, ok bool) {
	for ctx.Err() == nil {
		snapshot, asOf, err := o.Jobs.Load(ctx, o.Pool)
		if err == nil {
			return asOf, o.start(ctx, snapshot)
		}
		o.Log.Warn("cannot read the records of jobs", "pool", o.Pool, "err", err)
		sleep(ctx, loadRetry)
	}
	return 0, false
}

func (o *Owner) start(ctx context.Context, s jobstore.Snapshot) bool {
	return o.ask(ctx, func(p *scheduler.Pool, now time.Time) {
		p.Load(now, s.Jobs, s.Progress, s.Cancelled)
		close(o.loaded)
	})
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

// followWorkers hands in lists of workers once the records are read, and keeps a holder for each worker.
func (o *Owner) followWorkers(ctx context.Context) error {
	select {
	case <-o.loaded:
	case <-ctx.Done():
		return nil
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case workers := <-o.workers:
			o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.SetWorkers(now, workers) })
			o.holders.set(ctx, workers)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
