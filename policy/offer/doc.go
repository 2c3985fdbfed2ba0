// Package offer decides which VMs callers are shown.
//
// Callers of an availability zone are shown a few VMs of it, the front rank,
// rather than all: what few VMs see of each target is fresher, their
// connections are used more often, and less has to travel between them. Each
// VM works out the front rank of each zone by rendezvous hashing over the live
// members, so all agree without talking about it, and a VM that dies is
// replaced by the next in order while the others stay.
package offer
