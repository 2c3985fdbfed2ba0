package dispatch

import (
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// ID identifies a record. The keys of one customer are invisible to another.
type ID struct {
	Customer string
	Service  string
	Key      Key
}

// Digest is a hash either of a request's method, path and the beginning of its
// body, or of a complete body.
type Digest [16]byte

// Action is what the dispatcher does with a request that carries a key.
type Action int

// The actions.
const (
	// ActionRun means to run the request and to report its result with End.
	ActionRun Action = iota
	// ActionJoin means to wait for the result of the run in progress.
	ActionJoin
	// ActionReplay means to return the stored response.
	ActionReplay
	// ActionRefuse means to refuse the request.
	ActionRefuse
)

// Decision is what a Table decides about a request that carries a key.
type Decision struct {
	Action Action
	// Response is set for ActionReplay.
	Response *Response
	// Outcome and Reason are set for ActionRefuse.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// RetryAfter is set when the same request may be accepted later.
	RetryAfter time.Duration
}

// RunResult is the result of running a request that carries a key.
type RunResult struct {
	Outcome outcome.Outcome
	// Response is the complete response, or nil when it was not buffered.
	Response *Response
}

// Table keeps the dispatch records of keys.
type Table interface {
	// Begin decides about a request with a key at an uptime.
	Begin(id ID, digest Digest, uptime time.Duration) Decision
	// End records the result of a run that Begin allowed.
	End(id ID, result RunResult, uptime time.Duration)
	// SetBodyDigest records the digest of the complete body that a run has sent.
	SetBodyDigest(id ID, body Digest)
	// SameBody reports whether a resend carries the same body as the run.
	SameBody(id ID, body Digest) bool
}

type state uint8

const (
	stateRunning state = iota
	stateNotRun
	stateAnswered
	stateUncertain
)

type record struct {
	digest Digest
	// bodyDigest is the digest of the complete body; it is set once bodyKnown is true.
	bodyDigest Digest
	bodyKnown  bool
	state      state
	response   *Response
}

// recordKey identifies a record within its window.
type recordKey struct {
	customer   string
	service    string
	callerPart string
}

func recordKeyOf(id ID) recordKey {
	return recordKey{customer: id.Customer, service: id.Service, callerPart: id.Key.CallerPart}
}

type usage struct {
	records int
	bytes   int
}

// Records is the Table of an instance. All keys passed to it name that
// instance. It is not safe for concurrent use.
type Records struct {
	limits    Limits
	windows   map[uint64]map[recordKey]*record
	customers map[string]*usage
	count     int
	keptBytes int
}

// NewRecords returns an empty table.
func NewRecords(limits Limits) *Records {
	return &Records{
		limits:    limits,
		windows:   make(map[uint64]map[recordKey]*record),
		customers: make(map[string]*usage),
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return r.count }

// KeptBytes returns the memory of the stored responses.
func (r *Records) KeptBytes() int { return r.keptBytes }

func (r *Records) find(id ID) (*record, bool) {
	rec, ok := r.windows[id.Key.Window][recordKeyOf(id)]
	return rec, ok
}

// Begin implements Table.
func (r *Records) Begin(id ID, digest Digest, uptime time.Duration) Decision {
	r.expire(uptime)
	switch WindowStateAt(id.Key.Window, uptime) {
	case WindowClosed:
		return refuse(outcome.MayHaveRun, outcome.ReasonKeyWindowClosed)
	case WindowUnknown:
		return refuse(outcome.NotRun, outcome.ReasonKeyMalformed)
	}
	rec, ok := r.find(id)
	if !ok {
		return r.add(id, digest, uptime)
	}
	if rec.digest != digest {
		return refuse(outcome.NotRun, outcome.ReasonKeyReused)
	}
	return rec.decideResend()
}

func refuse(result outcome.Outcome, reason outcome.Reason) Decision {
	return Decision{Action: ActionRefuse, Outcome: result, Reason: reason}
}

// decideResend decides about a request whose key already has a record.
func (r *record) decideResend() Decision {
	switch r.state {
	case stateRunning:
		return Decision{Action: ActionJoin}
	case stateNotRun:
		r.state = stateRunning
		return Decision{Action: ActionRun}
	case stateUncertain:
		return refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan)
	}
	if r.response == nil {
		return refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan)
	}
	return Decision{Action: ActionReplay, Response: r.response}
}

func (r *Records) add(id ID, digest Digest, uptime time.Duration) Decision {
	used := r.customers[id.Customer]
	full := r.count >= r.limits.Records
	if full || used != nil && used.records >= r.limits.CustomerRecords {
		decision := refuse(outcome.NotRun, outcome.ReasonKeyRecordsFull)
		decision.RetryAfter = WindowLength - uptime%WindowLength
		return decision
	}
	if used == nil {
		used = &usage{}
		r.customers[id.Customer] = used
	}
	used.records++
	r.count++
	window := r.windows[id.Key.Window]
	if window == nil {
		window = make(map[recordKey]*record)
		r.windows[id.Key.Window] = window
	}
	key := recordKeyOf(id)
	key.callerPart = strings.Clone(key.callerPart)
	window[key] = &record{digest: digest}
	return Decision{Action: ActionRun}
}

// End implements Table.
func (r *Records) End(id ID, result RunResult, uptime time.Duration) {
	r.expire(uptime)
	rec, ok := r.find(id)
	if !ok || rec.state != stateRunning {
		return
	}
	switch result.Outcome {
	case outcome.NotRun:
		rec.state = stateNotRun
	case outcome.Answered:
		rec.state = stateAnswered
		r.keepResponse(id, rec, result.Response)
	default:
		rec.state = stateUncertain
	}
}

// keepResponse stores a response unless a limit on response memory is exceeded.
func (r *Records) keepResponse(id ID, rec *record, response *Response) {
	if response == nil {
		return
	}
	size := response.size()
	used := r.customers[id.Customer]
	if size > r.limits.MaxResponseBytes || r.keptBytes+size > r.limits.KeptBytes {
		return
	}
	if used.bytes+size > r.limits.CustomerKeptBytes {
		return
	}
	rec.response = response
	r.keptBytes += size
	used.bytes += size
}

// SetBodyDigest implements Table.
func (r *Records) SetBodyDigest(id ID, body Digest) {
	if rec, ok := r.find(id); ok {
		rec.bodyDigest = body
		rec.bodyKnown = true
	}
}

// SameBody implements Table. While the body of the run is not known, it counts
// as the same.
func (r *Records) SameBody(id ID, body Digest) bool {
	rec, ok := r.find(id)
	return !ok || !rec.bodyKnown || rec.bodyDigest == body
}

// expire drops the records of closed windows.
func (r *Records) expire(uptime time.Duration) {
	for number, window := range r.windows {
		if WindowStateAt(number, uptime) != WindowClosed {
			continue
		}
		for key, rec := range window {
			r.release(key.customer, rec)
		}
		delete(r.windows, number)
	}
}

func (r *Records) release(customer string, rec *record) {
	used := r.customers[customer]
	used.records--
	r.count--
	if rec.response != nil {
		size := rec.response.size()
		r.keptBytes -= size
		used.bytes -= size
	}
	if used.records == 0 {
		delete(r.customers, customer)
	}
}
