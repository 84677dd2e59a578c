// Package boottime provides time that includes suspension of the host and is not affected by changes of the system time.
package boottime

import "time"

// Clock provides times of day that advance with the boot clock, which is monotonic and includes suspension. It is safe for
// concurrent use.
type Clock struct {
	wall  time.Time
	start time.Duration
}

// New returns a clock that starts at the current time of day.
func New() *Clock {
	return &Clock{wall: time.Now().Round(0), start: Now()} // Round strips the monotonic reading
}

// Now returns the time of day at New plus the boot time elapsed since. It has no monotonic reading.
func (c *Clock) Now() time.Time {
	return c.wall.Add(Now() - c.start)
}
