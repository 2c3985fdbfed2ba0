// Package dispatch decides how often a request may be sent and what its
// caller is told.
//
// A request that must not run twice carries an idempotency key. The key names
// its dispatcher, one instance of one VM, and a window of that instance's
// uptime. Only that instance ever dispatches the key, so no agreement between
// VMs is needed: a partition, a restart or a replaced VM can make a key
// unanswerable, but never make it run twice.
//
// The dispatcher keeps a record of each key from its first request until the
// key's window has closed. A record is in one of four states:
//
//	running    an attempt is in progress; a resend joins it
//	not run    no target ran the request; a resend may run it
//	answered   a target answered; a resend gets the kept answer, or
//	           already_ran when the answer was too long to keep
//	uncertain  a target may have run it; a resend is told may_have_run
//
// A window lasts WindowLength and its keys are accepted until the second
// window after it begins. Records are dropped after that and never before: at
// the bound on records a new key is refused and no other key is forgotten.
//
// Time is the uptime of the instance, on a clock that counts suspension. No
// clock is compared between VMs. A process that wakes late therefore finds its
// own windows closed, and CheckWrite refuses what it was about to send.
//
// Attempt is the second model: what each way in which an attempt can fail
// means for the outcome and for a retry.
package dispatch
