// Package targetconn sends requests to targets over pooled connections, each
// request at most once.
//
// A Pool holds the connections of this VM to one target. Send takes a
// connection, writes a request to it and returns the head of the response
// together with an Exchange. The package never resends a request: whether that
// is safe is for the caller to decide. A connection is reused only when the
// caller trusts the response and the response was read to its end, and never for
// a request that the target refused on it.
package targetconn
