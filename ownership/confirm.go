package ownership

import (
	"sync/atomic"
	"time"
)

// Limits bound how long an owner acts without hearing from the store.
type Limits struct {
	// Unconfirmed is the longest time since the start of the last call that confirmed the lease.
	Unconfirmed time.Duration
	// Pause is the longest gap between two Ticks that does not count as a suspension.
	Pause time.Duration
}

// Confirmation tells whether this host may take itself to be alive in the eyes of others. Its times come from a clock
// that counts suspension. One goroutine calls Tick; the other methods are safe for concurrent use.
type Confirmation struct {
	limits Limits
	// Unix nanoseconds.
	tick, resumed, confirmed atomic.Int64
}

// NewConfirmation returns one that is not confirmed.
func NewConfirmation(limits Limits, now time.Time) *Confirmation {
	c := &Confirmation{limits: limits}
	c.tick.Store(now.UnixNano())
	c.resumed.Store(now.UnixNano())
	return c
}

// Tick notes that the process runs, and reports whether it was suspended since the Tick before.
func (c *Confirmation) Tick(now time.Time) (suspended bool) {
	n := now.UnixNano()
	if n-c.tick.Load() > int64(c.limits.Pause) {
		c.resumed.Store(n) // before tick, so that Holds never sees the gap closed and not yet noted
		suspended = true
	}
	c.tick.Store(n)
	return suspended
}

// Confirm notes that a call begun at started was answered and shows that the lease lasted then.
func (c *Confirmation) Confirm(started time.Time) {
	n := started.UnixNano()
	for {
		old := c.confirmed.Load()
		if n <= old || c.confirmed.CompareAndSwap(old, n) {
			return
		}
	}
}

// Withdraw forgets all confirmations.
func (c *Confirmation) Withdraw() { c.confirmed.Store(0) }

// Slack is how long the last confirmation still holds; negative if it does not.
func (c *Confirmation) Slack(now time.Time) time.Duration {
	return c.limits.Unconfirmed - time.Duration(now.UnixNano()-c.confirmed.Load())
}

// Holds reports whether the host ran and was confirmed recently enough to act as an owner.
func (c *Confirmation) Holds(now time.Time) bool {
	n := now.UnixNano()
	if n-c.tick.Load() > int64(c.limits.Pause) {
		return false
	}
	confirmed := c.confirmed.Load()
	return confirmed >= c.resumed.Load() && n-confirmed <= int64(c.limits.Unconfirmed)
}

// Resumed is when the process began to run without a suspension since.
func (c *Confirmation) Resumed() time.Time { return time.Unix(0, c.resumed.Load()) }
