package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

const (
	// forgetRing bounds what waits to be deleted of ended jobs, and of cancellations; forgetBatch what one write deletes.
	forgetRing  = 256
	forgetBatch = 8
	// forgetRetry is the pause after a write without success.
	forgetRetry = time.Second
)

// forgetEnded deletes the records of jobs that ended long ago.
func (o *Owner) forgetEnded(ctx context.Context) error {
	return forgetAll(ctx, o.forget, func(ids []string) error {
		return o.Jobs.Forget(ctx, o.Pool, o.Config.Fence, ids)
	})
}

// forgetUnmatched deletes the cancellations of jobs that never came. A job that has come after all is cancelled.
func (o *Owner) forgetUnmatched(ctx context.Context) error {
	return forgetAll(ctx, o.forgetCancels, func(ids []string) error {
		kept, err := o.Jobs.ForgetCancels(ctx, o.Pool, o.Config.Fence, ids)
		for _, id := range kept {
			o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.Cancel(now, id) })
		}
		return err
	})
}

// forgetAll deletes what comes through the ring, several ids at a time, until ctx ends.
func forgetAll(ctx context.Context, ids *ring.Ring[string], remove func(ids []string) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-ids.Items():
			batch := []string{id}
			for len(batch) < forgetBatch && ids.Len() > 0 {
				batch = append(batch, <-ids.Items())
			}
			for ctx.Err() == nil && remove(batch) != nil {
				_ = wait.For(ctx, forgetRetry)
			}
		}
	}
}
