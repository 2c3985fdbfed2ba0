// Package crashes finds the requests that crash their targets and stops them on all
// VMs, for instances whose routes and targets a store publishes.
//
// The tracker counts crashes by the request's fingerprint (policy/quarantine) and
// refuses a request after crashesToRefuse of them. What it knows is state that all
// VMs hold: each VM sends new evidence to the others at once and repeats all that it
// knows in turn, whoever saw it first. So a VM that joins, restarts, was cut off or
// gets no evidence of attempts learns it, too, and evidence outlives the VM that
// reported it.
package crashes
