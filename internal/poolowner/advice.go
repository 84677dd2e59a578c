package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

const (
	// adviceRingSize bounds the requests queued for the policy service, which accepts one call at a time from each host.
	adviceRingSize = 64
	// adviceTimeout bounds one call to the policy service.
	adviceTimeout = 3 * time.Second
)

// runAdvice sends queued requests to the policy service, one at a time.
func (o *Owner) runAdvice(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-o.advice.Items():
			advice := o.requestAdvice(ctx, r)
			o.enqueue(ctx, func(p *scheduler.Pool, now time.Time) { p.ApplyAdvice(now, advice) })
		}
	}
}

func (o *Owner) requestAdvice(ctx context.Context, r scheduler.AdviceRequest) scheduler.Advice {
	if o.Policy == nil {
		return scheduler.Advice{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Asked: r.Workers, Failed: true}
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	return o.Policy.Advise(ctx, r)
}
