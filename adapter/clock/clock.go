// Package clock provides a monotonic clock that also counts the time for which
// the machine is suspended.
//
// A gateway uses it to compute how old its data is after its machine was suspended.
// The Go runtime's monotonic clock doesn't count suspended time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, as a time after the Unix epoch. Only the
// difference between two results is meaningful. If the boot clock can't be read,
// Now returns the time of day.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Sec, now.Nsec)
}
