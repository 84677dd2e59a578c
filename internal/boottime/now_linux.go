package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: no CLOCK_BOOTTIME: " + err.Error()) // every supported kernel has it
	}
	return time.Duration(ts.Nano())
}
