// Package roster keeps the targets that a deployment's platform publishes.
//
// A target is identified by its instance identifier, never by its address,
// since addresses are used again by other services. An entry that cannot be
// read names no target and leaves the others alone. Entries that lapse while
// the store is away come back soon after its return if their targets live, so
// a removal that is learned right after an outage takes effect only once that
// time has passed.
//
// The package has no clock and no I/O: times come in as arguments.
package roster
