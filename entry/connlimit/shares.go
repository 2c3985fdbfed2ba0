package connlimit

import "github.com/primroseloom/primroseloom/entry/network"

// Shares of the sockets that a process may open. The rest is for connections to targets, other VMs and the store.
const (
	CallersShare   = 0.5
	PeersShare     = 0.3
	DirectoryShare = 0.08
	ReadinessShare = 0.02
	AdminShare     = 0.02
)

const (
	// MaxPageConnections bounds the open connections of a page whatever the machine is.
	MaxPageConnections = 1000
	// connectionBytes is what a connection of a caller needs: a goroutine, two buffers, and what the kernel has
	// received of it.
	connectionBytes = 16<<10 + network.CallersReceiveBytes
	// memoryShare is the share of the memory that callers' connections may need.
	memoryShare = 0.3
	// bytesPerMegabyte converts the setting, which counts decimal megabytes.
	bytesPerMegabyte = 1e6
)

// Share returns a share of the sockets, at least one and at most most.
func Share(sockets int, share float64, most int) int {
	return min(max(int(float64(sockets)*share), 1), most)
}

// Callers returns the number of callers' connections that may be open, at most most. memoryMB is the memory in
// megabytes that the process may use; 0 sets no bound.
func Callers(sockets int, memoryMB float64, most int) int {
	limit := Share(sockets, CallersShare, most)
	if memoryMB <= 0 {
		return limit
	}
	return min(max(int(memoryMB*bytesPerMegabyte*memoryShare/connectionBytes), 1), limit)
}
