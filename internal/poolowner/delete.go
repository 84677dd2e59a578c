package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/internal/ring"
	"github.com/agateturn/agateturn/jobstate"
	"github.com/agateturn/agateturn/scheduler"
	"github.com/agateturn/agateturn/wait"
)

const (
	// deletionRingSize bounds the queue of ended jobs, and that of cancellations, to delete; maxDeletionBatch bounds the
	// jobs deleted in one write.
	deletionRingSize = 256
	maxDeletionBatch = 7
	// deletionRetryDelay is the delay after a failed write.
	deletionRetryDelay = time.Second
)

// deleteEndedJobs deletes the records of jobs whose retention period has passed.
func (o *Owner) deleteEndedJobs(ctx context.Context) error {
	return deleteBatches(ctx, o.deletions, func(jobs []jobstate.Ref) error {
		return o.Jobs.Forget(ctx, o.Pool, o.Config.Fence, jobs)
	})
}

// deleteOrphanedCancels deletes cancellations whose jobs were never submitted. If the store keeps one because its job has
// been submitted meanwhile, the job is cancelled.
func (o *Owner) deleteOrphanedCancels(ctx context.Context) error {
	return deleteBatches(ctx, o.cancelDeletions, func(ids []string) error {
		kept, err := o.Jobs.ForgetCancels(ctx, o.Pool, o.Config.Fence, ids)
		for _, c := range kept {
			o.enqueue(ctx, func(p *scheduler.Pool, now time.Time) { p.CancelBy(now, c.GetId(), jobstate.Canceller(c)) })
		}
		return err
	})
}

// deleteBatches deletes what is queued in batches until ctx ends.
func deleteBatches[T any](ctx context.Context, queued *ring.Ring[T], remove func(batch []T) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-queued.Items():
			batch := []T{first}
			for len(batch) < maxDeletionBatch && queued.Len() > 0 {
				batch = append(batch, <-queued.Items())
			}
			for ctx.Err() == nil && remove(batch) != nil {
				_ = wait.For(ctx, deletionRetryDelay)
			}
		}
	}
}
