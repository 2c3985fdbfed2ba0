// Package frontend assembles an instance whose routes and targets a store
// publishes.
//
// The children are the packages follow, peer, evidence, targetset, gateway and
// this package's fleet. follow reads the store, peer keeps the membership,
// evidence carries what attempts showed, targetset chooses targets, gateway
// answers callers, and fleet decides which VMs callers are shown. fx builds
// them; the supervisor runs those that have work of their own.
package frontend
