// Package evidence carries what attempts showed of targets from VM to VM.
//
// Each VM that serves callers sends small UDP datagrams to the others that do:
// the ends of its attempts as evidence in nats, and the number of attempts that
// it has in progress on each target. Datagrams may be lost, so numbers in
// progress are absolute and each end is sent twice. An idle VM still sends a
// datagram a few times a second; the other VMs of its availability zone get
// these too and offer callers only VMs that they hear of.
package evidence
