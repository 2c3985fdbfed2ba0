package dispatch

import (
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// ID names a record. Keys of one customer are invisible to another.
type ID struct {
	Customer string
	Service  string
	Key      Key
}

// Digest identifies a request's method, path and the beginning of its body, or
// a whole body.
type Digest [16]byte

// Action tells the dispatcher what to do with a keyed request.
type Action int

// The actions.
const (
	// ActionRun means to run the request and to report its end with End.
	ActionRun Action = iota
	// ActionJoin means to wait for the end of the attempt in progress.
	ActionJoin
	// ActionReplay means to return the kept answer.
	ActionReplay
	// ActionRefuse means to refuse the request.
	ActionRefuse
)

// Decision is the Records' word on a keyed request.
type Decision struct {
	Action Action
	// Response is set for ActionAnswer.
	Response *Response
	// Outcome and Reason are set for ActionRefuse.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	// RetryAfter is set when the reason passes with time.
	RetryAfter time.Duration
}

// RunResult is how the run of a keyed request ended.
type RunResult struct {
	Outcome outcome.Outcome
	// Response is the whole answer, or nil when it was not held.
	Response *Response
}

// Table is what the proxy needs of a set of records.
type Table interface {
	// Begin decides about a request with a key at an uptime.
	Begin(id ID, digest Digest, uptime time.Duration) Decision
	// End records how a run that Begin allowed has ended.
	End(id ID, ending RunResult, uptime time.Duration)
	// SetBodyDigest records the digest of the whole body that a run has sent.
	SetBodyDigest(id ID, body Digest)
	// SameBody reports whether a resend carries the body of the run.
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
	// body is the digest of the whole body, once it is known.
	body   Digest
	sealed bool
	state  state
	answer *Response
}

// name identifies a record within its window.
type name struct {
	customer string
	service  string
	own      string
}

func nameOf(id ID) name {
	return name{customer: id.Customer, service: id.Service, own: id.Key.CallerPart}
}

type usage struct {
	records int
	bytes   int
}

// Records is the table of an instance's dispatch records. All keys given to it
// name that instance. It is not safe for concurrent use.
type Records struct {
	limits    Limits
	windows   map[uint64]map[name]*record
	customers map[string]*usage
	count     int
	kept      int
}

// NewRecords returns an empty table.
func NewRecords(limits Limits) *Records {
	return &Records{
		limits:    limits,
		windows:   make(map[uint64]map[name]*record),
		customers: make(map[string]*usage),
	}
}

// Len returns the number of records.
func (r *Records) Len() int { return r.count }

// KeptBytes returns the memory of kept answers.
func (r *Records) KeptBytes() int { return r.kept }

func (r *Records) find(id ID) (*record, bool) {
	rec, ok := r.windows[id.Key.Window][nameOf(id)]
	return rec, ok
}

// Begin decides about a request with a key at an uptime.
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
	return rec.resend()
}

func refuse(result outcome.Outcome, reason outcome.Reason) Decision {
	return Decision{Action: ActionRefuse, Outcome: result, Reason: reason}
}

// resend decides about a request whose key has a record.
func (r *record) resend() Decision {
	switch r.state {
	case stateRunning:
		return Decision{Action: ActionJoin}
	case stateNotRun:
		r.state = stateRunning
		return Decision{Action: ActionRun}
	case stateUncertain:
		return refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan)
	}
	if r.answer == nil {
		return refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan)
	}
	return Decision{Action: ActionReplay, Response: r.answer}
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
		window = make(map[name]*record)
		r.windows[id.Key.Window] = window
	}
	key := nameOf(id)
	key.own = strings.Clone(key.own)
	window[key] = &record{digest: digest}
	return Decision{Action: ActionRun}
}

// End records how a run that Begin allowed has ended.
func (r *Records) End(id ID, ending RunResult, uptime time.Duration) {
	r.expire(uptime)
	rec, ok := r.find(id)
	if !ok || rec.state != stateRunning {
		return
	}
	switch ending.Outcome {
	case outcome.NotRun:
		rec.state = stateNotRun
	case outcome.Answered:
		rec.state = stateAnswered
		r.keep(id, rec, ending.Response)
	default:
		rec.state = stateUncertain
	}
}

// keep stores an answer unless it or the kept answers are too large.
func (r *Records) keep(id ID, rec *record, answer *Response) {
	if answer == nil {
		return
	}
	size := answer.size()
	used := r.customers[id.Customer]
	if size > r.limits.MaxResponseBytes || r.kept+size > r.limits.KeptBytes {
		return
	}
	if used.bytes+size > r.limits.CustomerKeptBytes {
		return
	}
	rec.answer = answer
	r.kept += size
	used.bytes += size
}

// SetBodyDigest records the digest of the whole body that a run has sent.
func (r *Records) SetBodyDigest(id ID, body Digest) {
	if rec, ok := r.find(id); ok {
		rec.body = body
		rec.sealed = true
	}
}

// SameBody reports whether a resend carries the body of the run. A run whose
// body is not known yet is taken to carry the same.
func (r *Records) SameBody(id ID, body Digest) bool {
	rec, ok := r.find(id)
	return !ok || !rec.sealed || rec.body == body
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
	if rec.answer != nil {
		size := rec.answer.size()
		r.kept -= size
		used.bytes -= size
	}
	if used.records == 0 {
		delete(r.customers, customer)
	}
}
