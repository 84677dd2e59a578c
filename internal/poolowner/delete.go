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
	// ids deleted in one write.
	deletionRingSize = 256
	maxDeletionBatch = 8
	// deletionRetryDelay is the delay after a failed write.
	deletionRetryDelay = time.Second
)

// deleteEndedJobs deletes the records of jobs whose retention period has passed.
func (o *Owner) deleteEndedJobs(ctx context.Context) error {
	return deleteBatches(ctx, o.deletions, func(ids []string) error {
		return o.Jobs.Forget(ctx, o.Pool, o.Config.Fence, ids)
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

// deleteBatches deletes the queued ids in batches until ctx ends.
func deleteBatches(ctx context.Context, ids *ring.Ring[string], remove func(ids []string) error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-ids.Items():
			batch := []string{id}
			for len(batch) < maxDeletionBatch && ids.Len() > 0 {
				batch = append(batch, <-ids.Items())
			}
			for ctx.Err() == nil && remove(batch) != nil {
				_ = wait.For(ctx, deletionRetryDelay)
			}
		}
	}
}
