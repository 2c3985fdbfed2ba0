// Package proxy serves callers' requests.
//
// A request passes through these stages, one file each:
//
//	request.go   identify the customer, find the route, read deadline and key
//	upload.go    read the body with back-pressure and a bound on stalls
//	keyed.go     look up a keyed request in the dispatch records
//	forward.go   forward a keyed request to its dispatcher on another VM
//	run.go       make attempts until one is answered or the rules forbid more
//	attempt.go   make one attempt: slot lease, round trip, classification
//	response.go  buffer a response until it is complete, or stream a long one
//	refuse.go    report a refusal to the caller
//
// policy/dispatch and policy/quarantine decide; this package supplies the facts
// and carries out the decisions. A request keeps the configuration snapshot that
// it started with.
package proxy
