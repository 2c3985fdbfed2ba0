// Package balance chooses the target of each attempt and shares the targets'
// slots between the VMs of a service.
//
// A target runs a few requests concurrently, one in each of its slots, and many
// VMs send it work. The package has three mechanisms that can be compared:
//
//   - Balancer is local to a VM. It picks two targets at random and takes the
//     one with the lower load, which counts the VM's own requests in progress
//     and those that other VMs report. It sends no messages.
//   - Window bounds the requests that a VM has in progress at all targets
//     together. It grows while requests find free slots and shrinks when a
//     target sheds, so that the VMs of a service converge to their shares
//     without messages.
//   - Lessor leases slots. One of the VMs that serve a service is its lessor. It
//     knows every slot and responds to each request for a slot with a target, or
//     keeps it in a fair queue until a slot is free. A new lessor waits until
//     the leases of its predecessor have expired. The lessees are the VMs that
//     request slots, the lessor's VM among them.
//
// ConnectionShare divides the connections that a target accepts.
package balance
