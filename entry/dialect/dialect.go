// Package dialect declares what the proxy path needs to know of the headers that
// callers and targets use, in terms that do not depend on the platform. An
// adapter implements the interfaces for one platform; only the adapter knows the
// names that this platform uses.
package dialect

import (
	"net/http"
	"net/url"
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
)

// Request is what a caller's headers state about a request.
type Request struct {
	// AttemptID identifies the caller's attempt; empty if it is missing.
	AttemptID string
	// Remaining is how long the caller will wait; zero if it is not stated.
	Remaining time.Duration
	// Key is the customer's key; empty if it is missing or malformed. It is a secret.
	Key string
}

// Attempt is what the headers of a request to a target state.
type Attempt struct {
	// Remaining is the time after which the target should stop working on the
	// request.
	Remaining time.Duration
	// TargetID is the target instance that may run the request; any other
	// instance refuses it.
	TargetID string
	// ReplacesCredentials is true when callers authenticate at the proxy: their credentials
	// are removed, and Customer replaces what they claim to be.
	ReplacesCredentials bool
	// Customer is the name of the authenticated customer; empty when there is none.
	Customer string
}

// ResponseMetadata is what the headers of a target's response state.
type ResponseMetadata struct {
	// AttemptID echoes that of the request; empty if it is missing.
	AttemptID string
	// Signed is true when the response carries the target's signature.
	Signed bool
	// NotRun is true when the target states that it did not run the request.
	NotRun bool
	// WrongTarget is true when another instance than the intended one has the
	// address; the request did not run.
	WrongTarget bool
	// ClosesConnection is true when the target closes the connection after this
	// response.
	ClosesConnection bool
	// KeepIdle is how long the target keeps the connection open while it is
	// idle; zero if it is not stated.
	KeepIdle time.Duration
	// Load is the reported use of the target's slots; nil if none is reported.
	Load *Load
	// Notice is what the target says of itself.
	Notice notice.Notice
}

// Load is the use of a target's slots after the request that the response
// belongs to has ended, so that only other requests are counted.
type Load struct {
	Running, Waiting, Slots int
}

// Dialect reads and writes the headers that callers and targets use.
type Dialect interface {
	// ReadRequest reads the headers of a caller's request.
	ReadRequest(header http.Header) Request
	// WriteAttempt sets the headers of a request to a target.
	WriteAttempt(header http.Header, attempt Attempt)
	// ReadResponse reads the headers of a target's response.
	ReadResponse(response *http.Response) ResponseMetadata
	// WriteRefusal sets the headers of a refusal that the proxy itself sends to
	// a caller; retryAfter is zero if no time can be given.
	WriteRefusal(header http.Header, retryAfter time.Duration)
}

// DirectoryQuery is a caller's query to the directory.
type DirectoryQuery struct {
	// Host is the host that the caller wants to reach.
	Host   string
	Region string
	Zone   string
}

// Directory reads directory queries and renders the responses.
type Directory interface {
	// DirectoryPath returns the path at which callers query which VMs to use.
	DirectoryPath() string
	// ReadinessPath returns the path at which the platform checks whether a VM
	// accepts callers.
	ReadinessPath() string
	// ReadDirectoryQuery reads a directory query from URL parameters.
	ReadDirectoryQuery(query url.Values) DirectoryQuery
	// RenderDirectoryResponse returns a response body with "IP:port" addresses
	// and how long the caller should keep them.
	RenderDirectoryResponse(addresses []string, keep time.Duration) ([]byte, error)
}
