package dhtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time in which the machine was suspended
// or frozen, which the monotonic clock leaves out. Leases use it, so that they
// end during a freeze.
type Boot struct{}

// Elapsed returns the time since the machine has started.
func (Boot) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux since 2.6.39 has the clock
	}
	return time.Duration(t.Nano())
}
