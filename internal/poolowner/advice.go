package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/wait"

	"github.com/agateturn/agateturn/scheduler"
)

const (
	// adviceRing bounds the steps that wait for the policy service, which takes one call at a time from each host.
	adviceRing = 64
	// adviceTimeout bounds one call.
	adviceTimeout = 3 * time.Second
	// forgetRing bounds the ended jobs that wait to be deleted; forgetBatch those of one write.
	forgetRing  = 256
	forgetBatch = 8
	forgetRetry = time.Second
)

// advise asks the policy service, one call after the other.
func (o *Owner) advise(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-o.advice.Items():
			advice := o.adviceFor(ctx, r)
			o.put(ctx, func(p *scheduler.Pool, now time.Time) { p.Advised(now, advice) })
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

// forgetEnded deletes the records of jobs that ended long ago.
func (o *Owner) forgetEnded(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-o.forget.Items():
			o.forgetBatch(ctx, id)
		}
	}
}

func (o *Owner) forgetBatch(ctx context.Context, first string) {
	ids := []string{first}
	for len(ids) < forgetBatch && o.forget.Len() > 0 {
		ids = append(ids, <-o.forget.Items())
	}
	for ctx.Err() == nil {
		err := o.Jobs.Forget(ctx, o.Pool, o.Config.Fence, ids)
		if err == nil {
			return
		}
		_ = wait.For(ctx, forgetRetry)
	}
}
