// Package bootclock reads a clock that also counts the time for which the machine was suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started as a time that can only be compared with others of this package. Unlike
// the monotonic clock of package time it does not stand still in a suspension, and unlike the time of day it never jumps.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without the clock fails; its monotonic time is the next best.
		return time.Unix(0, 0).Add(time.Since(started))
	}
	return time.Unix(ts.Unix())
}

// started anchors the monotonic time for kernels without the clock.
var started = time.Now()
