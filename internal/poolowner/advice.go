package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

const (
	// adviceRing bounds the steps that wait for the policy service, which takes one call at a time from each host.
	adviceRing = 64
	// adviceTimeout bounds one call.
	adviceTimeout = 3 * time.Second
)

// advise asks the policy service, one call after the other.
func (o *Owner) advise(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-o.advice.Items():
			advice := o.adviceFor(ctx, r)
			o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.ApplyAdvice(now, advice) })
		}
	}
}

func (o *Owner) adviceFor(ctx context.Context, r scheduler.AdviceRequest) scheduler.Advice {
	if o.Policy == nil {
		return scheduler.Advice{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Asked: r.Workers, Failed: true}
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	return o.Policy.Advise(ctx, r)
}
