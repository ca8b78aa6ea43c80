// Package boottime reads the boot-time clock. Unlike the wall clock, it never steps;
// unlike the monotonic clock of the Go runtime, it includes the time during which the
// host was suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary fixed point.
type Clock func() time.Duration

// Now returns the time of the host's boot-time clock. If the kernel has no such clock, it
// returns the monotonic time since the start of the process.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()
