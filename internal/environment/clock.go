package environment

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time by which ages and leases count: the monotonic clock, which stands
// still while a machine is suspended, and for how long it stood still. Only ages made of
// it may be used, or sent to other nodes; it is no time of day.
func (e *Environment) Now() time.Time { return e.Host.Now() }

// Now is Environment.Now for what has a host and no environment.
func (h Host) Now() time.Time {
	if h.SuspendedTime == nil {
		return time.Now()
	}
	return time.Now().Add(h.SuspendedTime())
}

// Since returns the age of a time that Now gave.
func (e *Environment) Since(t time.Time) time.Duration { return e.Now().Sub(t) }

// suspendedPrecision is to what the machine's suspended time is cut, since its two clocks
// are not read at one moment.
const suspendedPrecision = 10 * time.Millisecond

// suspendedTime returns how far the boot clock, which counts suspended time, is ahead of
// the monotonic one, which does not. Where a clock can't be read it is zero.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(suspendedPrecision)
}
