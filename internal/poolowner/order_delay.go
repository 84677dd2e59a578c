package poolowner

import (
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// OrderDelay returns how long a job accepted now would wait until the owner can order its tasks. It is 0 if the rate of
// orders is not the bottleneck.
func (o *Owner) OrderDelay() time.Duration { return time.Duration(o.orders.delay.Load()) }

// updateOrderDelay stores the value that OrderDelay returns.
func (o *Owner) updateOrderDelay(p *scheduler.Pool, now time.Time) {
	o.orders.delay.Store(int64(p.SendWait(now)))
}
