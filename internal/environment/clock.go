package environment

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time from which ages and leases are computed: the monotonic clock plus the
// time for which the machine has been suspended, which that clock does not count. Only
// differences between such times are meaningful or may be sent to other nodes; the result is
// not a time of day.
func (e *Environment) Now() time.Time { return e.Host.Now() }

// Now is Environment.Now for callers that have a Host but no Environment.
func (h Host) Now() time.Time {
	if h.SuspendedTime == nil {
		return time.Now()
	}
	return time.Now().Add(h.SuspendedTime())
}

// Since returns the time elapsed since t, a result of Now.
func (e *Environment) Since(t time.Time) time.Duration { return e.Now().Sub(t) }

// suspendedPrecision is the unit to which the suspended time is truncated, since the two
// clocks are not read at the same instant.
const suspendedPrecision = 10 * time.Millisecond

// suspendedTime returns the difference between the boot clock, which counts suspended time,
// and the monotonic clock, which does not. It is zero if a clock can't be read.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(suspendedPrecision)
}
