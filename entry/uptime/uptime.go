// Package uptime measures how long the instance has existed on a clock that
// counts suspension, so that a process that wakes late knows it.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since the instance started.
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

// Uptime returns the time since the clock was made, suspension included.
func (c *BootClock) Uptime() time.Duration { return bootTime() - c.start }

func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
