// Package contract holds the interfaces through which the daemon's children
// use one another, so that each child can be tested against a small fake.
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

// Platform reads the service that holds the published configuration.
type Platform interface {
	// Read returns a value and its version; a missing key is ErrNotFound.
	Read(ctx context.Context, key string) (Value, error)
	// Watch waits until a value has another version than the given one, or
	// until the wait has passed; it then returns the value as it stands.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Value, error)
}

// Value is one value of the platform.
type Value struct {
	Version uint64
	Content []byte
}

// Configuration hands out the snapshot in force.
type Configuration interface {
	// Current returns the snapshot in force, or nil before the first one.
	Current() *snapshot.Snapshot
	// Subscribe calls back with each new snapshot, and with the present one at once.
	Subscribe(onChange func(*snapshot.Snapshot))
}

// Members shows the fleet as this instance sees it.
type Members interface {
	// Self returns this instance.
	Self() *primroseloomv1.Member
	// Members returns all members known, this instance included, dead ones excluded.
	Members() []*primroseloomv1.Member
	// Client returns a client of a member's peer listener.
	Client(vm string) (primroseloomv1connect.PeerServiceClient, bool)
}

// News shares facts with the instances that serve the same service.
type News interface {
	// Publish sends an item; an urgent one goes at once and ahead of others.
	Publish(item *primroseloomv1.NewsItem, urgent bool)
	// Subscribe calls back with each item of another instance.
	Subscribe(onItem func(*primroseloomv1.NewsItem))
}

// AcquireRequest asks for a slot of a target.
type AcquireRequest struct {
	Service  string
	Customer string
	// Deadline is the time by which the request must have ended.
	Deadline time.Time
	// Idempotent requests may run twice, so they may serve as trials.
	Idempotent bool
	// Exclude names targets that earlier attempts have used.
	Exclude []string
	// Retry marks an attempt after the first; it spends the retry budgets.
	Retry bool
}

// Targets admits requests and chooses a target for each attempt.
type Targets interface {
	// Acquire waits for admission and a slot; its error is an *outcome.Refusal.
	Acquire(ctx context.Context, request AcquireRequest) (SlotLease, error)
}

// TrialHeader tells a target that a request tests whether it is well again.
const TrialHeader = "Primroseloom-Trial"

// SlotLease is one slot of one target, held for one attempt.
type SlotLease interface {
	Target() document.Target
	// RoundTrip sends the request once, over a connection of the grant's pool.
	// It never sends a request a second time by itself.
	RoundTrip(request *http.Request) (*http.Response, error)
	// Done ends the attempt and returns the slot; it is called exactly once.
	Done(result AttemptResult)
}

// AttemptResult is what became of an attempt, as evidence about the target.
type AttemptResult struct {
	Kind AttemptKind
	// FirstByte is the time from the write to the answer's first byte.
	FirstByte time.Duration
	// Total is the time from the write to the answer's end.
	Total time.Duration
	// ReusedConnection is true when the attempt went over a connection used before.
	ReusedConnection bool
}

// AttemptKind classifies the end of an attempt.
type AttemptKind string

// The kinds of attempt ends.
const (
	AttemptSucceeded AttemptKind = "succeeded"
	AttemptRefused   AttemptKind = "refused"
	AttemptReset     AttemptKind = "reset"
	AttemptTimedOut  AttemptKind = "timed_out"
	AttemptTruncated AttemptKind = "truncated"
	AttemptWrong     AttemptKind = "wrong"
	AttemptShed      AttemptKind = "shed"
	AttemptDraining  AttemptKind = "draining"
	// AttemptCanceled ended because the caller went away; it is no evidence.
	AttemptCanceled AttemptKind = "canceled"
)

// Explainer answers an operator's question about a subject, such as
// "target booking/t07" or "customer tallinn".
type Explainer interface {
	// Explain returns the findings about a subject, newest first.
	Explain(subject string) []Finding
}

// Finding is one decision and its grounds.
type Finding struct {
	Subject  string    `json:"subject"`
	Decision string    `json:"decision"`
	Rule     string    `json:"rule"`
	Evidence []string  `json:"evidence"`
	SeenBy   []string  `json:"seen_by"`
	Since    time.Time `json:"since"`
	Next     string    `json:"next"`
}

// NewRefusal builds a refusal.
func NewRefusal(result outcome.Outcome, reason outcome.Reason, step outcome.Step, peer string, cause error) *outcome.Refusal {
	return &outcome.Refusal{Outcome: result, Reason: reason, Step: step, Peer: peer, Cause: cause}
}
