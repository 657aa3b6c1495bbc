package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a monotonic clock that continues while the VM is suspended, so that leases and cached
// state have aged when a suspended process resumes.
type Boot struct{}

var bootStart = bootNanos()

// Now returns the time since the process started, suspensions included. It never
// returns zero.
func (Boot) Now() Time { return Time((bootNanos()-bootStart)/int64(time.Millisecond)) + 1 }

func bootNanos() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has no boot-time clock; the monotonic one stops during suspension.
		return int64(time.Since(start))
	}
	return t.Nano()
}
