package balance

// restartAllowance is the number of processes of one VM whose connections a
// target may hold at a time: the present one and the one it replaced.
const restartAllowance = 2

// ConnectionShare returns how many connections one VM may have open to one
// target, probes included, so that the VMs of the service's set together never
// exceed the target's limit, even when each was restarted and the target has
// not noticed yet. Zero means that the set is too large for the target.
func ConnectionShare(maxConnections, vms int) int {
	if vms < 1 {
		vms = 1
	}
	return maxConnections / (restartAllowance * vms)
}
