// Package admission decides which requests are admitted, which wait and in which
// order, and which are refused at once.
//
// A request passes three stages. Customers holds an account for each customer
// that was active lately: a token bucket for its rate, a count of its requests
// in progress and its retry budget. Limits are passed to each call, so that a
// new configuration changes the limits and never the state. FairQueue orders
// the requests that wait for a service by start-time fair queueing: the virtual
// start times of a customer's requests are one service unit divided by the
// customer's weight apart, and the lowest start time goes first. A customer with
// a long backlog thus delays another customer by at most one request.
// DrainEstimator estimates how long a request would wait, so that one that would
// miss its deadline is refused when it arrives.
//
// LimitShare divides a customer's limits between the VMs that serve it.
package admission
