// Package uptime measures the time since the instance started on a clock that
// includes suspension, so that a process can notice that it was suspended.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures the time since the instance started.
type Clock interface {
	// Uptime returns the time since the start, suspension included.
	Uptime() time.Duration
}

// BootClock reads the operating system's boot clock.
type BootClock struct {
	start time.Duration
}

// NewBootClock returns a clock that starts now.
func NewBootClock() *BootClock { return &BootClock{start: bootTime()} }

// Uptime returns the time since the clock was created, suspension included.
func (c *BootClock) Uptime() time.Duration { return bootTime() - c.start }

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
