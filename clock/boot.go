package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a monotonic clock that goes on counting while the VM is suspended, so
// that a process that was frozen finds its leases and beliefs aged on waking.
type Boot struct{}

var bootStart = bootNanos()

// Now returns the time since the process started, suspensions included. It never
// returns zero.
func (Boot) Now() Time { return Time((bootNanos()-bootStart)/int64(time.Millisecond)) + 1 }

func bootNanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without the clock keep the monotonic one.
		return int64(time.Since(start))
	}
	return t.Nano()
}
