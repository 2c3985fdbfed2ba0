// Package machine tells what the operating system says of the machine.
package machine

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// bytesPerMegabyte converts to the unit of the settings, decimal megabytes.
const bytesPerMegabyte = 1e6

// MemoryMB returns the machine's memory in megabytes.
func MemoryMB() (float64, error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0, fmt.Errorf("read the machine's memory: %w", err)
	}
	return float64(info.Totalram) * float64(info.Unit) / bytesPerMegabyte, nil
}
