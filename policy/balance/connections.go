package balance

// restartAllowance is the number of processes of one VM whose connections a
// target may have open at the same time: the running process and the one that it
// replaced.
const restartAllowance = 2

// ConnectionShare returns how many connections one VM may have open to one
// target, including those of probes, so that the VMs that serve the service
// together never exceed the target's limit, even when each was restarted and the
// target has not yet closed the old connections. Zero means that there are too
// many VMs for the target.
func ConnectionShare(maxConnections, vms int) int {
	if vms < 1 {
		vms = 1
	}
	return maxConnections / (restartAllowance * vms)
}
