package poolowner

import (
	"context"
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// idleStep is the longest time between two steps.
const idleStep = time.Second

// loop owns the pool: it applies what happened and carries out what the scheduler decides.
func (o *Owner) loop(ctx context.Context) error {
	p := scheduler.New(o.Config)
	timer := time.NewTimer(idleStep)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-o.inputs.Items():
			in(p, o.Clock())
			o.drain(p)
		case <-timer.C:
		}
		now := o.Clock()
		wake := o.step(ctx, p, now)
		timer.Reset(wake)
	}
}

// drain applies the inputs that wait already, so that one step answers all of them.
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

// step returns the time until the next step.
func (o *Owner) step(ctx context.Context, p *scheduler.Pool, now time.Time) time.Duration {
	if !o.isLoaded() {
		return idleStep
	}
	p.SetSendRoom(now, o.orders.room())
	actions := p.Step(now)
	o.tellWait(p, now)
	if len(actions.Decisions) > 0 {
		o.decisions.Offer(withTime(actions.Decisions, time.Now()))
	}
	o.orders.send(ctx, actions.Orders)
	o.holders.poll(ctx, actions.Poll)
	o.records.add(actions.Records)
	for _, r := range actions.Advice {
		if !o.advice.Offer(r) {
			p.ApplyAdvice(now, scheduler.Advice{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Failed: true})
		}
	}
	for _, id := range actions.Forget {
		o.forget.Offer(id)
	}
	for _, id := range actions.ForgetCancels {
		o.forgetCancels.Offer(id)
	}
	if actions.Wake.IsZero() {
		return idleStep
	}
	return min(max(actions.Wake.Sub(now), time.Millisecond), idleStep)
}

func (o *Owner) isLoaded() bool {
	select {
	case <-o.loaded:
		return true
	default:
		return false
	}
}
