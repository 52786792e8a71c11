// Package bootclock reads the boot-time clock of the operating system.
package bootclock

import (
	"golang.org/x/sys/unix"

	"github.com/hornbeamhoist/hornbeamhoist/pkg/clock"
)

// Now returns the current boot time. The clock includes time spent suspended
// and is not set by operators or time synchronisation.
func Now() clock.Instant {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists since Linux 2.6.39; the call cannot fail with a valid pointer.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return clock.Instant(ts.Nano())
}
