package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// lookupRingSize bounds the jobs that wait to be looked up.
const lookupRingSize = 64

// lookUpJobs looks up unknown jobs in the store. One that exists arrives by follow, together with its cancellation.
func (o *Owner) lookUpJobs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-o.lookups.Items():
			if !o.Jobs.MayExist(ctx, o.Pool, id) {
				o.enqueue(ctx, func(p *scheduler.Pool, _ time.Time) { p.MarkAbsent(id) })
			}
		}
	}
}
