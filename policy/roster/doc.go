// Package roster keeps the targets that a deployment's platform publishes.
//
// A target is identified by its instance identifier, never by its address,
// since addresses are reused by other services. An entry that cannot be read
// describes no target and does not affect the others. Entries that expire while
// the store is unreachable are published again soon after it is reachable, if
// their targets are running. A removal that is learned right after an outage
// therefore takes effect only after RepublishGrace.
//
// The package reads no clock and does no I/O: times are passed in as arguments.
package roster
