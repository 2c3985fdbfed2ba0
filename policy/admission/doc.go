// Package admission decides which requests may go on, which wait and in which
// order, and which are refused at once.
//
// A request passes three stages. Customers holds an account for each customer
// that was active lately: a token bucket for its rate, a count of its requests
// in progress and its retry budget. Limits come in with each call, so that a
// new configuration changes the limits and never the state. FairQueue orders
// the requests that wait for a service by start-time fair queueing: each
// customer's requests get virtual start times one service unit divided by its
// weight apart, and the lowest start time goes first. A customer with a long
// backlog thus delays another customer by one request at most. Drain estimates
// how long a request would wait, so that one that would miss its deadline is
// refused when it arrives.
//
// Divide splits a customer's limits over the VMs that serve it.
package admission
