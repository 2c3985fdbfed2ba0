// Package gateway serves callers' requests in a deployment whose platform
// publishes the routes and targets.
//
// A request passes four steps: it is checked against the current routes, its body
// is read, targets are attempted one after the other, and the response is written
// to the caller. A request that must not run twice is retried only when the target
// proved that it did not run. The status that the caller receives reflects what is
// known: 503 means that the request did not run and never will; 502 and 504 mean
// that it may have run. When the gateway gives up on a request, it responds at
// once.
package gateway
