// Package boottime reads time that goes on while the host is suspended and ignores steps of the time of day.
package boottime

import "time"

// Clock gives times of day that advance with the boot clock: steady, and counting suspension. It is safe for concurrent use.
type Clock struct {
	wall  time.Time
	start time.Duration
}

// New returns a clock that shows the present time of day.
func New() *Clock {
	return &Clock{wall: time.Now().Round(0), start: Now()} // Round strips the monotonic reading
}

// Now returns the time of day at New plus the boot time elapsed since. It has no monotonic reading.
func (c *Clock) Now() time.Time {
	return c.wall.Add(Now() - c.start)
}
