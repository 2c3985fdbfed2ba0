// Package gateway answers callers' requests on a deployment whose routes and
// targets its platform publishes.
//
// A request passes four steps: it is checked against the routes in force, its
// body is read, attempts are made at targets one after the other, and the
// whole answer is handed to the caller. A request that must not run twice is
// attempted again only when the target proved that it did not run. What is
// told to the caller follows from what is known: 503 means that the request
// did not run and never will; 502 and 504 mean that it may have run. A request
// on which the gateway has given up is answered at once.
package gateway
