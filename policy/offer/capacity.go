package offer

// Costs of a request, on average, from which a VM's capacity follows.
const (
	// cpuPerRequest is the processor time of a request, in seconds of a core.
	cpuPerRequest = 0.0015
	// bitsPerRequest is what a request sends or receives over the VM's link.
	bitsPerRequest = 100_000
	// cpuUse and linkUse are the parts of a VM's processor and link that callers
	// are let to use on average; bursts and the VM's other work need the rest.
	cpuUse, linkUse = 0.5, 0.35
)

// Capacity returns the requests a second that a VM is fit for, from its share
// of a processor in cores and its link in megabits a second.
func Capacity(cores, linkMbps float64) uint32 {
	byCPU := cores * cpuUse / cpuPerRequest
	byLink := linkMbps * 1e6 * linkUse / bitsPerRequest
	return uint32(max(min(byCPU, byLink), 1))
}
