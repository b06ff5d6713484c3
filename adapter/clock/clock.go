// Package clock tells a time that steps of the time of day don't move and that
// goes on while the machine is suspended.
//
// A gateway that was frozen finds by it how old its knowledge is, which the
// runtime's own clock doesn't count.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time after the Unix
// epoch. Only differences between two such times mean anything.
func Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Now()
	}
	return time.Unix(now.Sec, now.Nsec)
}
