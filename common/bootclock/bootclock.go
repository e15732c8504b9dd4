// Package bootclock provides a monotonic clock that includes the time for which the machine was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, as a time that can only be compared with other results of Now. Unlike the monotonic clock
// of package time, it advances while the machine is suspended; unlike the wall clock, it is never adjusted.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without CLOCK_BOOTTIME, for which the monotonic clock is the closest substitute.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(ts.Unix())
}

// started is the origin of the monotonic time on kernels without CLOCK_BOOTTIME.
var started = time.Now()
