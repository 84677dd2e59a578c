package ownership

import (
	"sync/atomic"
	"time"
)

// Limits bounds how long an owner may act without an answer from the store.
type Limits struct {
	// Unconfirmed is the maximum time since the start of the last call that confirmed the lease.
	Unconfirmed time.Duration
	// Pause is the maximum time between two calls of Tick that does not count as a suspension.
	Pause time.Duration
}

// Confirmation tracks whether this host may still rely on its lease. Its times must come from a clock that includes
// time spent suspended. Only one goroutine may call Tick; the other methods are safe for concurrent use.
type Confirmation struct {
	limits Limits
	// Unix nanoseconds.
	tick, resumed, confirmed atomic.Int64
}

// NewConfirmation returns a Confirmation that is not confirmed yet.
func NewConfirmation(limits Limits, now time.Time) *Confirmation {
	c := &Confirmation{limits: limits}
	c.tick.Store(now.UnixNano())
	c.resumed.Store(now.UnixNano())
	return c
}

// Tick records that the process is running and reports whether it was suspended since the previous Tick.
func (c *Confirmation) Tick(now time.Time) (suspended bool) {
	n := now.UnixNano()
	if n-c.tick.Load() > int64(c.limits.Pause) {
		c.resumed.Store(n) // stored before tick, so that Valid never sees the new tick without the suspension
		suspended = true
	}
	c.tick.Store(n)
	return suspended
}

// Confirm records that a call begun at started was answered and showed that the lease was valid.
func (c *Confirmation) Confirm(started time.Time) {
	n := started.UnixNano()
	for {
		old := c.confirmed.Load()
		if n <= old || c.confirmed.CompareAndSwap(old, n) {
			return
		}
	}
}

// Withdraw discards all confirmations.
func (c *Confirmation) Withdraw() { c.confirmed.Store(0) }

// Remaining returns the time until the last confirmation expires; it is negative afterwards.
func (c *Confirmation) Remaining(now time.Time) time.Duration {
	return c.limits.Unconfirmed - time.Duration(now.UnixNano()-c.confirmed.Load())
}

// Valid reports whether the host has not been suspended since its last confirmation, and that is recent enough to act
// as an owner.
func (c *Confirmation) Valid(now time.Time) bool {
	n := now.UnixNano()
	if n-c.tick.Load() > int64(c.limits.Pause) {
		return false
	}
	confirmed := c.confirmed.Load()
	return confirmed >= c.resumed.Load() && n-confirmed <= int64(c.limits.Unconfirmed)
}

// Resumed returns the time since which the process has run without a suspension.
func (c *Confirmation) Resumed() time.Time { return time.Unix(0, c.resumed.Load()) }
