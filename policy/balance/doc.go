// Package balance chooses the target of each attempt and shares the targets'
// slots between the VMs of a service.
//
// A target runs a few requests at a time, its slots, and many VMs send it
// work. Three deciders are here to be weighed against each other:
//
//   - Balancer is local to a VM. It compares two targets chosen at random by
//     the VM's own requests in progress and by what others report, and takes
//     the one with the lower load. It needs no messages.
//   - Window bounds the requests that a VM has in progress at all targets
//     together. It grows while slots are found free and shrinks when a target
//     sheds, so that the VMs of a service find their shares without messages.
//   - Keeper leases slots. One VM of the service's set, the keeper, knows every
//     slot and answers each request for a slot with a target, or holds it in a
//     fair queue until a slot is free. A new keeper waits out the leases of the
//     one before it.
//
// ConnectionShare divides the connections that a target accepts.
package balance
