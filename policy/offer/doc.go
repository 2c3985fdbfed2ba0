// Package offer decides which VMs are advertised to callers.
//
// Callers of an availability zone get only a few of its VMs, the primary VMs of
// the zone: a few VMs have fresher observations of each target, use their
// connections more often and exchange fewer messages than all VMs would. Each
// VM computes the primary VMs of each zone from the live members, by capacity
// and then by rendezvous hashing. All VMs therefore agree without messages, and
// a VM that fails is replaced by the next in order while the others stay. The
// number of primary VMs grows with the request rates that the VMs report.
//
// Callers spread their requests evenly over the VMs of an answer. Where the primary VMs
// differ in capacity, each answer therefore shows a random part of them, the larger ones
// more often (Sample), and a zone needs only as many VMs as their capacities sum to.
package offer
