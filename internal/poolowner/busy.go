package poolowner

import (
	"time"

	"github.com/agateturn/agateturn/scheduler"
)

// Wait is how long a job accepted now would wait for the owner itself to order its tasks; 0 if that does not bind.
func (o *Owner) Wait() time.Duration { return time.Duration(o.orders.queued.Load()) }

// tellWait keeps what Wait tells.
func (o *Owner) tellWait(p *scheduler.Pool, now time.Time) {
	o.orders.queued.Store(int64(p.SendWait(now)))
}
