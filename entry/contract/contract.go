// Package contract declares the interfaces through which the components of the
// daemon use one another, so that each can be tested against a small fake.
package contract

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// Network opens sockets. The operating system's network and the in-memory
// network of the tests implement it.
type Network interface {
	// Listen binds a TCP listener to exactly the "IP:port" address.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// DialContext connects to an "IP:port" address; network is "tcp".
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Platform reads the platform's store of published configuration.
type Platform interface {
	// Read returns a value and its version. For a missing key the error is
	// platform.ErrNotFound (package entry/platform).
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until a value's version differs from the given one, for at
	// most the given wait, and then returns the current value. The content is nil
	// when the version is the given one.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, error)
}

// Value is one value of the platform's store.
type Value struct {
	Version uint64
	Content []byte
}

// Configuration provides the configuration snapshot in force.
type Configuration interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *snapshot.Snapshot
	// Subscribe calls onChange at once with the current snapshot and then with
	// each new one.
	Subscribe(onChange func(*snapshot.Snapshot))
}

// Members provides this instance's view of the fleet.
type Members interface {
	// Self returns this instance.
	Self() *primroseloomv1.Member
	// Members returns all known members that are not dead, including this
	// instance.
	Members() []*primroseloomv1.Member
	// Client returns a client of a member's peer listener.
	Client(vm string) (primroseloomv1connect.PeerServiceClient, bool)
}

// News exchanges news items with the instances that serve the same service.
type News interface {
	// Publish sends an item. An urgent item is sent at once, before others.
	Publish(item *primroseloomv1.NewsItem, urgent bool)
	// Subscribe calls onItem with each item from another instance.
	Subscribe(onItem func(*primroseloomv1.NewsItem))
}

// AcquireRequest describes a request for a slot of a target.
type AcquireRequest struct {
	Service  string
	Customer string
	// Deadline is the time by which the request must be finished.
	Deadline time.Time
	// Idempotent requests may run twice, so they may serve as trials.
	Idempotent bool
	// Exclude names targets that earlier attempts have used.
	Exclude []string
	// Retry is true for every attempt after the first; it uses up retry budget.
	Retry bool
}

// Targets admits requests and chooses a target for each attempt.
type Targets interface {
	// Acquire waits for admission and for a slot. Its error is an
	// *outcome.Refusal.
	Acquire(ctx context.Context, request AcquireRequest) (SlotLease, error)
}

// TrialHeader marks a request to a target as a trial: a request that tests
// whether a suspect or ejected target has recovered.
const TrialHeader = "Primroseloom-Trial"

// SlotLease is one slot of one target, leased to one attempt.
type SlotLease interface {
	Target() document.Target
	// RoundTrip sends the request once, over a connection from the target's
	// pool. It never retries the request.
	RoundTrip(request *http.Request) (*http.Response, error)
	// Done ends the attempt and releases the slot. It must be called exactly
	// once.
	Done(result AttemptResult)
}

// AttemptResult is the result of an attempt; it is evidence of the target's
// health.
type AttemptResult struct {
	Kind AttemptKind
	// FirstByte is the time from the write of the request to the first byte of
	// the response.
	FirstByte time.Duration
	// Total is the time from the write of the request to the end of the
	// response.
	Total time.Duration
	// ReusedConnection is true when the connection had carried a request before.
	ReusedConnection bool
	// Pause is how long the target, which shed the request, wants nothing from this VM;
	// zero when it does not say.
	Pause time.Duration
}

// AttemptKind classifies the result of an attempt.
type AttemptKind string

// The kinds of attempt results.
const (
	AttemptSucceeded AttemptKind = "succeeded"
	AttemptRefused   AttemptKind = "refused"
	AttemptReset     AttemptKind = "reset"
	AttemptTimedOut  AttemptKind = "timed_out"
	AttemptTruncated AttemptKind = "truncated"
	// AttemptWrong means that the response is invalid or that its status reports a
	// failure of the target.
	AttemptWrong    AttemptKind = "wrong"
	AttemptShed     AttemptKind = "shed"
	AttemptDraining AttemptKind = "draining"
	// AttemptCanceled means that the caller or this instance ended the attempt, for
	// example because the caller disconnected or BeforeWrite returned an error; it is
	// no evidence about the target.
	AttemptCanceled AttemptKind = "canceled"
)

// Explainer explains the decisions about a subject to an operator. Subjects are
// "target booking/t07" or "customer tallinn", for example.
type Explainer interface {
	// Explain returns the findings about a subject. Refusals of a customer are listed
	// newest first; findings about a target are not sorted by time.
	Explain(subject string) []Finding
}

// Finding is one decision with the rule and the evidence behind it.
type Finding struct {
	Subject  string    `json:"subject"`
	Decision string    `json:"decision"`
	Rule     string    `json:"rule"`
	Evidence []string  `json:"evidence"`
	SeenBy   []string  `json:"seen_by"`
	Since    time.Time `json:"since"`
	Next     string    `json:"next"`
}

// NewRefusal returns a refusal with the given fields.
func NewRefusal(result outcome.Outcome, reason outcome.Reason, step outcome.Step, peer string, cause error) *outcome.Refusal {
	return &outcome.Refusal{Outcome: result, Reason: reason, Step: step, Peer: peer, Cause: cause}
}
