// Package memnet is an in-memory network for tests, with faults.
//
// A Network consists of hosts, each with an IP address. A Host listens and dials
// like a process on that machine. The connections are buffered byte streams with
// deadlines and back-pressure. All waits use condition variables and timers, so
// they work in virtual time under testing/synctest.
//
// Block acts on one direction between two IP addresses: a blocked direction
// delivers nothing, neither data nor the end of a connection, until it is
// unblocked; dials over it hang. StallConnections permanently stops delivery on
// the existing connections between two IP addresses and does not affect new ones.
// Kill closes the listeners of a host and resets its connections.
package memnet
