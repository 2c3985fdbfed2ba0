package offer

// Average costs of a request, which determine a VM's capacity.
const (
	// cpuSecondsPerRequest is the CPU time of a request, in seconds of one core.
	cpuSecondsPerRequest = 0.0015
	// bitsPerRequest is the traffic of a request on the VM's network link, in bits.
	bitsPerRequest = 100_000
	// maxCPUShare and maxLinkShare are the fractions of a VM's CPU and network link
	// that callers may use on average; bursts and the VM's other work need the rest.
	maxCPUShare, maxLinkShare = 0.5, 0.35
)

// Capacity returns the requests per second that a VM can serve, from its CPU
// share in cores and its link speed in megabits per second.
func Capacity(cores, linkMbps float64) uint32 {
	byCPU := cores * maxCPUShare / cpuSecondsPerRequest
	byLink := linkMbps * 1e6 * maxLinkShare / bitsPerRequest
	return uint32(max(min(byCPU, byLink), 1))
}
