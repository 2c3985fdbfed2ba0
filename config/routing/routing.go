// Package routing holds the routes of a deployment whose services and targets
// are published by its platform, and finds the route of a request.
//
// A Document is one published version. Compile turns it into an immutable
// Table, which finds a route by host and longest path prefix. Versions only
// increase: whoever uses a table replaces it by one with a higher version.
package routing

import "time"

// Kind determines how often a request of a route may run.
type Kind string

// The kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once for each attempt of their caller.
	KindOnce Kind = "once"
	// KindUpload requests carry a large body and run at most once.
	KindUpload Kind = "upload"
	// KindDownload requests have large responses and may run more than once.
	KindDownload Kind = "download"
)

// Idempotent reports whether a request that may have run may run again.
func (k Kind) Idempotent() bool { return k == KindIdempotent || k == KindDownload }

// Document is one published version of the routes.
type Document struct {
	// Version orders the documents; it increases, not always by one.
	Version  uint64
	Services []Service
	Routes   []Route
	Limits   Limits
	// Customers holds the customers whose keys callers must show; nil when callers need no
	// key. An empty list means that no key is valid.
	Customers []Customer
	// Problems lists the parts that could not be read and how they are treated.
	Problems []Problem
}

// Problem is a part of a document that is left out or served in a restricted way, while the
// rest is in force.
type Problem struct {
	// Path names the part, such as "customers[tallinn]". It never holds a key.
	Path string
	// Reason tells what is wrong and what follows.
	Reason string
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath responds with 200 while a target considers itself healthy.
	HealthPath string
	// MaxConnections is the number of connections that one target accepts from the whole fleet.
	MaxConnections int
}

// Route determines which services receive its requests, and the limits of a request.
type Route struct {
	Name string
	// Host is the Host header of its requests, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the latency objective: a response within this time has its full utility.
	Objective time.Duration
	// Priority ranks routes under overload; 0 is served first. A customer's own priority takes
	// precedence.
	Priority int
	// Public is true when callers need no key.
	Public bool
	// MaxAttempts is the maximum number of targets to which one request may be sent.
	MaxAttempts int
	// Split holds the services that share the requests.
	Split []Share
}

// Share is the weight with which a service receives a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
