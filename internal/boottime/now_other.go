//go:build !linux

package boottime

import "time"

var processStart = time.Now()

// Now returns the time since the process started. It does not include suspension.
func Now() time.Duration { return time.Since(processStart) }
