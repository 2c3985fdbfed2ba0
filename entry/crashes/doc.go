// Package crashes finds the requests that crash their targets and stops them on all
// VMs, for instances whose routes and targets a store publishes.
//
// An attempt that ends without a complete response is lost: its connection was
// closed, or no response came. That alone does not mean that the target crashed: a
// failing target closes connections and lives on. The checker connects to the
// target. A target that refuses connections has crashed. One that does not answer is
// presumed to have crashed, until a newer start of it is published, or its entry is
// gone, which confirms it. One that accepts a connection lives, unless a newer start
// is published soon.
//
// The tracker counts crashes by the request's fingerprint (policy/quarantine) and
// refuses a request after the second. What it knows is state that all
// VMs hold: each VM sends new evidence to the others at once and repeats all that it
// knows in turn, whoever saw it first. So a VM that joins, restarts, was cut off or
// gets no evidence of attempts learns it, too, and evidence outlives the VM that
// reported it.
package crashes
