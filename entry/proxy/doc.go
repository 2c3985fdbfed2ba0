// Package proxy serves callers' requests.
//
// A request passes through these stages, one file each:
//
//	request.go   identify the customer, find the route, read deadline and key
//	upload.go    read the body with back-pressure and a bound on stalls
//	keyed.go     let the dispatch records decide about a keyed request
//	forward.go   hand a keyed request to its dispatcher on another VM
//	run.go       make attempts until one is answered or the rules forbid more
//	attempt.go   one attempt: one grant, one round trip, one classification
//	answer.go    hold an answer until it is whole, or stream a long one
//	refuse.go    tell the caller what became of the request
//
// The decisions are those of policy/dispatch and policy/quarantine; this
// package observes, asks and acts. A request keeps the configuration snapshot
// that it started with.
package proxy
