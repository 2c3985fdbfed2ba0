// Package evidence exchanges evidence about the health of targets among VMs.
//
// Each VM that serves callers sends small UDP datagrams to the others that do:
// the outcomes of its attempts as evidence in nats (units of log-likelihood),
// and the number of attempts that it has in progress on each target. Datagrams
// may be lost, so numbers in progress are absolute and each outcome is sent
// twice. An idle VM still sends a heartbeat datagram a few times a second. All
// VMs of its availability zone receive the heartbeats and advertise to callers
// only VMs from which they receive them.
package evidence
