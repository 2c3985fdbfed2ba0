// Package memnet is an in-memory network for tests, with faults.
//
// A Network holds hosts, each with an IP address. A Host listens and dials as
// a process on that machine would. The connections are buffered byte streams
// with deadlines and back-pressure; all waits are on condition variables and
// timers, so they work in virtual time under testing/synctest.
//
// Faults act on a pair of IP addresses and on one direction: a blocked
// direction delivers nothing, neither data nor the end of a connection, until
// it is unblocked; new connections over it hang. Silence blocks the
// connections that exist and leaves new ones alone. Kill resets everything a
// host has.
package memnet
