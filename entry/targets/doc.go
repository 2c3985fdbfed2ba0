// Package targets admits requests, chooses a target for each attempt and keeps
// the connections to the targets.
//
// Manager runs under the daemon's supervisor. It counts the customers' requests
// against their limits and keeps one service for each service of the
// configuration. A service holds a fair queue of waiting requests, a balancer
// and a health evaluator for its targets, and for each target a pool of
// connections and whether the target is leaving.
//
// An attempt calls Acquire, which waits for a slot and returns a lease of it,
// then the lease's RoundTrip, which sends the request once, and then Done, which
// returns the slot, decides whether the connection may be reused and passes the
// result to the evaluator as evidence.
//
// The connections are of type http.ClientConn and carry one request at a time.
// Unlike http.Transport, http.ClientConn never resends a request by itself.
package targets
