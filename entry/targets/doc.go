// Package targets admits requests, chooses a target for each attempt and holds
// the connections to the targets.
//
// Manager is the child of the supervisor tree. It keeps the accounts of the
// customers and one service for each service of the configuration. A service
// holds a fair queue of requests that wait, a balancer over its targets, and
// for each target a pool of connections, a judge of its health and what is
// known of its leaving.
//
// An attempt goes through Acquire, which waits for a slot and returns a grant,
// through the grant's RoundTrip, which sends the request once, and through
// Done, which returns the slot, decides whether the connection may be used
// again and passes the result to the judge as evidence.
//
// The connections are http.ClientConn, one request at a time on each. Unlike
// http.Transport, they never send a request again by themselves.
package targets
