//go:build !linux

package boottime

import "time"

var processStart = time.Now()

// Now returns the time since the process started; suspension does not count on this system.
func Now() time.Duration { return time.Since(processStart) }
