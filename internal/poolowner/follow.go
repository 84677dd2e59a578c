package poolowner

import (
	"context"
	"log/slog"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/events"
	pb "github.com/agateturn/agateturn/gen/agateturn/v1"
	"github.com/agateturn/agateturn/internal/jobstore"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
)

// readRetryDelay is the delay before the records of a pool are read or followed again.
const readRetryDelay = 200 * time.Millisecond

// follow loads the records of the pool, then passes jobs and cancellations submitted after their revision asOf to the
// goroutine of loop, which owns the scheduler.Pool. Following from the same revision again is harmless: the scheduler ignores
// changes that it has already applied.
func (o *Owner) follow(ctx context.Context) error {
	asOf, ok := o.load(ctx)
	for ok && ctx.Err() == nil {
		err := o.Jobs.Follow(ctx, o.Pool, asOf, func(c jobstore.Change) { o.applyChange(ctx, c) })
		if err != nil && ctx.Err() == nil {
			o.logReadFailure(ctx, "follow", err)
		}
		_ = wait.For(ctx, readRetryDelay)
	}
	return nil
}

// load reads and applies the records of the pool and returns their revision; ok is false if ctx ended first.
func (o *Owner) load(ctx context.Context) (asOf uint64, ok bool) {
	for ctx.Err() == nil {
		snapshot, intents, asOf, err := o.read(ctx)
		if err == nil {
			return asOf, o.initPool(ctx, snapshot, intents)
		}
		o.logReadFailure(ctx, "load", err)
		_ = wait.For(ctx, readRetryDelay)
	}
	return 0, false
}

// read reads the records of the pool and, concurrently, which hosts the fleet's owner may have ordered to leave it.
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

// logReadFailure logs a failed call to the store. The call "load" stands for both reads of read, and "roster" for reads and
// writes of the roster.
func (o *Owner) logReadFailure(ctx context.Context, call string, err error) {
	events.Log(ctx, o.Log, events.RecordsUnread, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.String("call", call), slog.String("err", err.Error()))
}

func (o *Owner) initPool(ctx context.Context, s jobstore.Snapshot, intents Intents) bool {
	elapsed := o.Clock().Sub(o.startedAt)
	o.Metrics.observeTakeover(elapsed)
	events.Log(ctx, o.Log, events.RecordsLoaded, slog.String("pool", o.Pool), slog.Uint64("fence", o.Config.Fence),
		slog.Int("jobs", len(s.Jobs)), slog.Int("progress", len(s.Progress)), slog.Int("cancelled", len(s.Cancelled)),
		slog.Int("leaving", len(intents.Hosts)),
		slog.Int64("took_ms", elapsed.Milliseconds()))
	_, ok := runInLoop(ctx, o, func(p *scheduler.Pool, now time.Time) struct{} {
		o.evacuations.fleetFence = intents.FleetFence
		p.SetLeavingHosts(intents.Hosts)
		cancelled, other := splitCancellations(s)
		p.Load(now, s.Jobs, s.Progress, cancelled)
		for _, c := range other {
			p.CancelBy(now, c.GetId(), jobstate.Canceller(c))
		}
		close(o.loaded)
		return struct{}{}
	})
	return ok
}

// splitCancellations returns the ids of the jobs that are cancelled by someone who may do so, and the cancellations for which
// the snapshot has no such job. The latter are ignored unless a job arrives that they apply to.
func splitCancellations(s jobstore.Snapshot) (cancelled []string, other []*pb.JobCancel) {
	workspaces := lo.SliceToMap(s.Jobs, func(j *pb.JobRecord) (string, string) { return j.GetId(), j.GetWorkspace() })
	for _, c := range s.Cancelled {
		workspace, known := workspaces[c.GetId()]
		if known && jobstate.Canceller(c).MayAccess(workspace) {
			cancelled = append(cancelled, c.GetId())
		} else {
			other = append(other, c)
		}
	}
	return cancelled, other
}

func (o *Owner) applyChange(ctx context.Context, c jobstore.Change) {
	o.enqueue(ctx, func(p *scheduler.Pool, now time.Time) {
		if c.Job != nil {
			p.Add(now, c.Job)
		}
		if c.Cancel != nil {
			p.CancelBy(now, c.Cancel.GetId(), jobstate.Canceller(c.Cancel))
		}
	})
}
