// Package dispatch decides how often a request may be sent to targets and which
// outcome its caller receives.
//
// A request that must not run twice carries an idempotency key. The key names
// its dispatcher, which is one instance on one VM, and a window of that
// instance's uptime. Only that instance dispatches the key, so the VMs need no
// agreement: after a partition, a restart or a replacement of the VM a request
// with the key may fail, but it never runs twice.
//
// The dispatcher keeps a record of each key from its first request until the
// key's window has closed. A record is in one of four states:
//
//	running    an attempt is in progress; a resend joins it
//	not run    no target ran the request; a resend may run it
//	answered   a target answered; a resend gets the stored response
//	uncertain  a target may have run it; a resend is refused
//
// A resend to an uncertain record, or to an answered one whose response was too
// large to store, is refused with the outcome may_have_run and the reason
// already_ran.
//
// A window lasts WindowLength, and its keys are accepted until the second window
// after it begins. Records are never dropped before that: when the table is full,
// a new key is refused and no existing record is evicted.
//
// Time is the uptime of the instance, on a clock that includes the time during
// which the system was suspended. No clock is compared between VMs. A process
// that resumes late therefore finds its windows closed, and CheckWrite refuses
// what it was about to send.
//
// The package also decides, with a Decider, what a failed attempt means for the
// outcome of its request and whether it is retried.
package dispatch
