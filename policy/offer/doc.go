// Package offer decides which VMs callers are shown.
//
// Callers of an availability zone are shown a few VMs of it, the front rank,
// rather than all: what few VMs see of each target is fresher, their
// connections are used more often, and less has to travel between them. Each
// VM works out the front rank of each zone from the live members, by capacity
// and then by rendezvous hashing, so all agree without talking about it, and a
// VM that dies is replaced by the next in order while the others stay. The rank
// grows with the requests that its VMs say they serve.
package offer
