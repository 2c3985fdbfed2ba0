// Package quarantine stops requests that crash targets from crashing more of
// them.
//
// A request is identified by its fingerprint, a hash of customer, service,
// method, path and the beginning of the body. The idempotency key is not part of
// it. An attempt that ends with the crash of its target makes the fingerprint a
// suspect. From then on at most one attempt of it runs at a time and others wait.
// A second crash, of another target or of the same one after its restart,
// quarantines the fingerprint: every VM refuses it as not run for QuarantineTime.
// A complete response to a suspect clears it, because a request that crashes each
// target that runs it never gets one. An ordinary request that was merely in
// progress on a crashed target is therefore cleared by its next run.
//
// Each VM keeps its own table, which is updated by its own attempts and by
// urgent news from other VMs. The numbers of suspects and of quarantines are
// bounded. When a bound is reached, the entry that expires first is dropped; for
// suspects this is the one marked longest ago.
package quarantine
