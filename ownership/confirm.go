package ownership

import (
	"sync/atomic"
	"time"
)

// Limits holds the time limits of a Confirmation.
type Limits struct {
	// MaxUnconfirmed is how long an owner may act without a new confirmation of its lease, counted from the start of the call
	// that last confirmed it.
	MaxUnconfirmed time.Duration
	// Pause is the threshold for detecting a suspension: a longer time between two calls of Tick counts as one.
	Pause time.Duration
}

// Confirmation tracks whether this process may still rely on its lease and on its pools, whose keys may change hands while
// the lease lasts. A suspension is a time in which the process did
// not run, for example because its host was suspended. All times must come from a clock that advances during a suspension,
// such as boottime.Clock. Only one goroutine may call Tick; the other methods are safe for concurrent use.
type Confirmation struct {
	limits Limits
	// Times in Unix nanoseconds: the last Tick, the end of the last suspension (or the creation), and the start of the last
	// call that confirmed the lease, or 0 without one.
	lastTick, runningSince, confirmedFrom atomic.Int64

	claims claims
}

// NewConfirmation returns a Confirmation of a lease that has not been confirmed yet.
func NewConfirmation(limits Limits, now time.Time) *Confirmation {
	c := &Confirmation{limits: limits, claims: claims{pools: make(map[string]claim)}}
	c.lastTick.Store(now.UnixNano())
	c.runningSince.Store(now.UnixNano())
	return c
}

// Tick records that the process is running and reports whether it was suspended since the previous Tick.
func (c *Confirmation) Tick(now time.Time) (suspended bool) {
	n := now.UnixNano()
	if n-c.lastTick.Load() > int64(c.limits.Pause) {
		c.runningSince.Store(n) // stored before lastTick, so that Valid never sees the new tick without the suspension
		suspended = true
	}
	c.lastTick.Store(n)
	return suspended
}

// Confirm records that a call begun at started was answered and showed that the lease was valid.
func (c *Confirmation) Confirm(started time.Time) {
	n := started.UnixNano()
	for {
		old := c.confirmedFrom.Load()
		if n <= old || c.confirmedFrom.CompareAndSwap(old, n) {
			return
		}
	}
}

// Withdraw discards all confirmations, because the lease has been lost.
func (c *Confirmation) Withdraw() {
	c.confirmedFrom.Store(0)
	c.claims.withdraw()
}

// Remaining returns the time until the last confirmation expires; it is negative afterwards, and without a
// confirmation. It ignores suspensions: use Valid to decide whether to act.
func (c *Confirmation) Remaining(now time.Time) time.Duration {
	return c.limits.MaxUnconfirmed - time.Duration(now.UnixNano()-c.confirmedFrom.Load())
}

// Valid reports whether the process may act as an owner: the last confirmation is recent enough, and no suspension has been
// detected since. It is also false while a Tick is overdue.
func (c *Confirmation) Valid(now time.Time) bool {
	n := now.UnixNano()
	if n-c.lastTick.Load() > int64(c.limits.Pause) {
		return false
	}
	confirmedFrom := c.confirmedFrom.Load()
	return confirmedFrom >= c.runningSince.Load() && n-confirmedFrom <= int64(c.limits.MaxUnconfirmed)
}

// Resumed returns the time since which the process has run without a suspension.
func (c *Confirmation) Resumed() time.Time { return time.Unix(0, c.runningSince.Load()) }
