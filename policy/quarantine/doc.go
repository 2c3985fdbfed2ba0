// Package quarantine keeps requests that crash targets from crashing more.
//
// A request is known by its fingerprint, a hash of customer, service, method,
// path and the beginning of the body; its idempotency key is no part of it. An
// attempt that ends with the crash of its target makes the fingerprint a
// suspect. From then on at most one attempt of it runs at a time; others wait.
// A second crash, of another target or of the
// same one after its restart, makes it quarantined: every VM refuses it as not run
// for QuarantineTime. A whole answer to a suspect clears it, since a request
// that crashes each target that runs it gets none; so an ordinary request that
// was merely in progress on a crashed target is cleared by its next run.
//
// Each VM keeps its own table, fed by its own attempts and by the urgent news
// of other VMs. The numbers of suspects and of quarantines are bounded: the
// suspect marked longest ago is dropped first, and of quarantines the one that
// ends first.
package quarantine
