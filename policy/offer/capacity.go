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
	// maxHeldShare is the fraction of the bytes that a VM may hold which is held on average
	// at its capacity; bursts and slow callers need the rest.
	maxHeldShare = 0.5
)

// Capacity returns the requests per second that a VM can serve, from its CPU
// share in cores and its link speed in megabits per second.
func Capacity(cores, linkMbps float64) uint32 {
	byCPU := cores * maxCPUShare / cpuSecondsPerRequest
	byLink := linkMbps * 1e6 * maxLinkShare / bitsPerRequest
	return uint32(max(min(byCPU, byLink), 1))
}

// Use is what a VM's requests use of it now.
type Use struct {
	// Requests are the requests a second.
	Requests float64
	// BitsPerSecond is the traffic to callers.
	BitsPerSecond float64
	// HeldShare is the fraction of the bytes that the VM may hold which is held.
	HeldShare float64
}

// Rate returns the load of a VM in requests a second of average cost: the largest of the number
// of requests, the used part of the link and the used part of the memory, each scaled to
// capacity. VMs add these rates up to the demand of a zone, so that more VMs are advertised
// while responses are large or read slowly. capacity is in requests a second, linkMbps in
// megabits a second.
func Rate(use Use, capacity uint32, linkMbps float64) float64 {
	byLink := use.BitsPerSecond / (linkMbps * 1e6 * maxLinkShare) * float64(capacity)
	byMemory := use.HeldShare / maxHeldShare * float64(capacity)
	return max(use.Requests, byLink, byMemory)
}
