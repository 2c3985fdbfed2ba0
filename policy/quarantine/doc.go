// Package quarantine stops requests that crash targets from crashing more of
// them.
//
// A request has an identity: its caller, its resource (what is asked for, with the
// beginning of the body) and its query. The idempotency key is not part of it. When a
// request is sent again, its caller's address or its query may be another. Evidence is
// therefore held for four forms of a request, each with a fingerprint of its own: the exact
// one, and those that leave out the query, the caller, or both. A form that leaves a part
// out is quarantined only by crashes of different requests which no form with that part
// explains. A response counts for all forms of its request, so that a form which many sound
// requests share is cleared all the time.
//
// An attempt that ends with the crash of its target makes the fingerprint a
// suspect. From then on at most one attempt of it runs at a time and others wait.
// A second crash, of another target or of the same one after its restart,
// quarantines the fingerprint: every VM refuses it as not run for QuarantineTime. A form that
// leaves parts out may also stand for sound requests; it is refused for
// FirstFormQuarantineTime at first, and twice as long after each further crash.
//
// A request that crashes each target that runs it never gets a complete response.
// A response therefore clears a suspect and lifts a quarantine, and a crash soon
// after a response does not count: the request was merely in progress on a target
// that crashed for another reason. AnswerValidity bounds that time, so that a
// request that begins to crash targets is found.
//
// Each VM keeps its own table. Evidence, the crashes of a request and its latest
// response, is what VMs exchange. Merging it has the same result in any order and
// any number of times, so that tables that have seen the same evidence agree. Crashes travel
// with the identity of the request, from which each VM derives the forms.
// Crashes of one process of a target are one crash, however many VMs report it.
//
// A crash may be presumed: the target fell silent and does not accept connections,
// which may also be a fault of the path. Such a crash counts for PresumedTime only,
// unless it is confirmed.
//
// A crash may be survived: the connection of the request ended, or was silent until the time
// limit, but the target goes on accepting connections and answers other requests. A worker process
// behind the listener may have ended, or a network fault may have hit the connection.
// Such a crash counts half, for SurvivedTime, and only at a distance from others. So does the
// end of a target that held much of other requests, which may have ended for lack of memory.
//
// The numbers of suspects and of quarantines are bounded. When a bound is reached,
// the suspect with the fewest crashes, and among these the oldest, or the
// quarantine that ends first is dropped.
package quarantine
