// Package hedge decides when a slow idempotent request gets a second attempt at
// another target while its first attempt still runs.
//
// A hedge shortens the slowest responses and costs work at targets. It therefore
// gives way to everything else: it is sent only when the request has waited longer
// than most of its route's recent attempts (Durations), when the service has free
// slots beyond a reserve and nothing waits (Room), and when the hedging budget of
// the service allows it (Budget). The retry budget is a second bound that belongs
// to policy/retry: a hedge may use only what retries leave over.
//
// Eligible holds the rules on the request, Due and Fits those on the moment. They return
// a Reason, which has a counter. A request that is not hedged now may be hedged
// later: Due and Fits also return when to ask again.
package hedge
