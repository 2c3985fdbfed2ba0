// Package placement chooses the target of an attempt and decides whether a
// request is admitted at all.
//
// Each candidate is priced in seconds: the work, slowed down by what is known
// of the target; the wait for a slot; the way to another availability zone;
// and the risk that the attempt fails. A failed attempt of a request that must
// not run twice costs the request, so its risk is dear and such requests go to
// the targets with the best record. Idempotent requests can be sent once more,
// so the first attempt of some of them tries targets under suspicion; this is
// how a recovered target is found.
//
// A request is refused at once when even the cheapest target would answer it
// too late to be of full use. The bound is lower for routes of lower rank, so
// that what capacity there is goes to the others.
package placement
