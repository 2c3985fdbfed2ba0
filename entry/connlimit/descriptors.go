package connlimit

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	// fileDescriptors is the number of descriptors that are not for sockets.
	fileDescriptors = 200
	// minDescriptors is the number of descriptors that a process has at least.
	minDescriptors = 256
)

// Sockets returns the number of sockets that the process may open. descriptors is the number of its
// descriptors; 0 means the limit that the operating system sets.
func Sockets(descriptors int) int {
	if descriptors <= 0 {
		descriptors = systemLimit()
	}
	return max(descriptors, minDescriptors) - fileDescriptors
}

// systemLimit returns the operating system's limit on the descriptors of the process.
func systemLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}
