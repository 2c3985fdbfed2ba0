// Package placement chooses the target of an attempt and decides whether a
// request is admitted at all.
//
// Each candidate has an expected utility between 0 and 1: the probability that
// the attempt succeeds, times the value of a response at the expected time. The
// wait for a slot, a slow target and the distance to another availability zone
// delay the response; a suspect is likely to fail. A failed attempt of a
// non-idempotent request fails the request, so such requests go to the targets
// with the best record. Idempotent requests can be retried, so the first attempt
// of some of them is a trial of a suspect; this is how a recovered target is
// found.
//
// While any target has a free slot a request is admitted, if necessary at a
// suspect. A request that would have to wait is refused at once if its expected
// utility is low. The limit is higher for routes of lower priority, so that the
// remaining capacity goes to responses that arrive in time.
package placement
