// Package subset chooses the set of VMs that serve a service, and the VMs of the
// set that a customer uses.
//
// A service has a set of VMs, sized by its demand and by the connections that
// its targets accept. The set consists of numbered positions. Each position is
// given a zone, then the VM of that zone with the highest rendezvous score for
// the position. A customer chooses positions, not VMs, by rendezvous hashing
// over the positions (shuffle sharding). When a VM is removed, its position gets
// another VM; only the customers of that position are affected, and they keep
// their other VMs.
package subset
