// Package placement chooses the target of an attempt and decides whether a
// request is admitted at all.
//
// Each candidate has an expected worth between 0 and 1: how likely the attempt
// ends well, times what an answer is worth at the time at which it would come.
// The wait for a slot, slowness and the way to another availability zone delay
// the answer; suspicion makes its failure likely. A failed attempt of a request
// that must not run twice costs the request, so such requests go to the targets
// with the best record. Idempotent requests can be sent once more, so the first
// attempt of some of them tries targets under suspicion; this is how a
// recovered target is found.
//
// While a slot is free somewhere a request is admitted, if need be at a
// suspect. When it would have to wait, it is refused at once if its expected
// worth is low, and earlier for routes of lower rank, so that what capacity
// there is goes to answers that come in time.
package placement
