package dhtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that includes the time during which the machine was suspended
// or frozen, which the monotonic clock does not count. Leases use it, so that
// they also expire during a freeze.
type Boot struct{}

// Elapsed returns the time since the machine was booted.
func (Boot) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has had this clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
