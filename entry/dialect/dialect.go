// Package dialect holds what the proxy path needs to know of the headers that
// callers and targets use, in the project's own terms. An adapter implements
// the interfaces for one platform; nothing else knows its names.
package dialect

import (
	"net/http"
	"net/url"
	"time"
)

// Request is what a caller says about one request.
type Request struct {
	// AttemptID identifies the caller's attempt; empty when it is missing.
	AttemptID string
	// Remaining is how long the caller waits; zero when it doesn't say.
	Remaining time.Duration
}

// Attempt is what a target is told about one request.
type Attempt struct {
	// Remaining is the time after which the target should stop work.
	Remaining time.Duration
	// TargetID is the instance that may run the request; any other refuses it.
	TargetID string
}

// ResponseMetadata is what a target says about one answer.
type ResponseMetadata struct {
	// AttemptID repeats the caller's; empty when it is missing.
	AttemptID string
	// Signed is true when the answer carries the target's signature.
	Signed bool
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// WrongTarget is true when another instance has the address; the request did not run.
	WrongTarget bool
	// ClosesConnection is true when the target closes the connection after this answer.
	ClosesConnection bool
	// KeepIdle is how long the target keeps the idle connection; zero when it doesn't say.
	KeepIdle time.Duration
	// Load is what the target reports of its slots; nil when it doesn't.
	Load *Load
}

// Load is the use of a target's slots by other requests, once the one that is
// answered has ended.
type Load struct {
	Running, Waiting, Slots int
}

// Dialect reads and writes the headers of both sides.
type Dialect interface {
	// ReadRequest reads a caller's headers.
	ReadRequest(header http.Header) Request
	// WriteAttempt sets the headers of a request to a target.
	WriteAttempt(header http.Header, attempt Attempt)
	// ReadResponse reads the headers of a target's answer.
	ReadResponse(response *http.Response) ResponseMetadata
	// WriteRefusal sets the headers of an answer that the proxy gives itself;
	// retryAfter is zero when no time can be named.
	WriteRefusal(header http.Header, retryAfter time.Duration)
}

// DirectoryQuery is what a caller asks the directory.
type DirectoryQuery struct {
	// Host is the host that the caller wants to reach.
	Host   string
	Region string
	Zone   string
}

// Directory reads directory questions and renders their answers.
type Directory interface {
	// DirectoryPath is where callers ask which VMs to use.
	DirectoryPath() string
	// ReadinessPath is where the platform asks whether a VM takes callers.
	ReadinessPath() string
	// ReadDirectoryQuery reads a question from a query.
	ReadDirectoryQuery(query url.Values) DirectoryQuery
	// RenderDirectoryResponse returns the body that names "IP:port" addresses and how
	// long to keep them.
	RenderDirectoryResponse(addresses []string, keep time.Duration) ([]byte, error)
}
