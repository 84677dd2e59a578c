package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// maxStepInterval is the longest time between two steps of the scheduler.
const maxStepInterval = time.Second

// loop is the only goroutine that accesses the scheduler.Pool. It applies inputs and carries out the scheduler's actions.
func (o *Owner) loop(ctx context.Context) error {
	p := scheduler.New(o.Config)
	timer := time.NewTimer(maxStepInterval)
	defer timer.Stop()
	var spacing stepSpacing
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-o.inputs.Items():
			p.SetConfirmed(o.ConfirmedFrom())
			in(p, o.Clock())
			o.drain(p)
		case <-timer.C:
		}
		now := o.Clock()
		if wait := spacing.untilNext(now); wait > 0 {
			timer.Reset(wait)
			continue
		}
		delay := o.step(ctx, p, now)
		ended := o.Clock()
		spacing.record(now, ended)
		timer.Reset(max(delay, spacing.untilNext(ended)))
	}
}

// drain applies the inputs that are already queued, so that one step handles all of them.
func (o *Owner) drain(p *scheduler.Pool) {
	for range o.inputs.Len() {
		select {
		case in := <-o.inputs.Items():
			in(p, o.Clock())
		default:
			return
		}
	}
}

// step runs one step of the scheduler, once the records are loaded, and passes on its actions. It returns the time until the
// next step.
func (o *Owner) step(ctx context.Context, p *scheduler.Pool, now time.Time) time.Duration {
	if !o.isLoaded() {
		return maxStepInterval
	}
	p.SetConfirmed(o.ConfirmedFrom())
	p.SetSendRoom(now, o.orders.availableBytes())
	o.findUsage(p, now)
	actions := p.Step(now)
	o.updateOrderDelay(p, now)
	if len(actions.Decisions) > 0 {
		o.decisions.Offer(timestampDecisions(actions.Decisions, time.Now()))
	}
	o.orders.send(ctx, actions.Orders)
	o.renewers.poll(ctx, actions.Poll)
	if actions.Confirm {
		o.requestConfirmation()
	}
	o.records.add(actions.Records)
	for _, r := range actions.Advice {
		if !o.advice.Offer(r) {
			p.ApplyAdvice(now, scheduler.Advice{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Failed: true})
		}
	}
	for _, job := range actions.Forget {
		o.deletions.Offer(job)
	}
	for _, id := range actions.Lookups {
		o.lookups.Offer(id)
	}
	for _, id := range actions.ForgetCancels {
		o.cancelDeletions.Offer(id)
	}
	if actions.Wake.IsZero() {
		return maxStepInterval
	}
	return min(max(actions.Wake.Sub(now), time.Millisecond), maxStepInterval)
}

func (o *Owner) isLoaded() bool {
	select {
	case <-o.loaded:
		return true
	default:
		return false
	}
}
