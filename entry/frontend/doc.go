// Package frontend assembles an instance whose routes and targets a store
// publishes.
//
// The children are the packages follow, peer, evidence, targetset, gateway and
// this package's fleet. follow reads the store, peer keeps the membership,
// evidence exchanges the results of attempts between VMs, targetset chooses
// targets, gateway serves callers, and fleet decides which VMs are advertised to
// callers. fx builds them; the supervisor runs those that work in the background.
package frontend
