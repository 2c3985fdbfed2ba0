// Package outcome names the possible outcomes of a request and the reasons for
// them, as its caller receives them.
//
// Every request ends in one of three outcomes. Answered means that the caller
// has the target's complete response. NotRun means that no target ran any part of
// the request. MayHaveRun means that a target may have run it and that the
// fleet does not know whether one did. A Refusal carries one of the last two
// together with its reason, the step at which it arose and the peer concerned.
package outcome

import (
	"fmt"
	"time"
)

// Outcome is the outcome of a request.
type Outcome string

// The outcomes, as written in the Primroseloom-Outcome header.
const (
	Answered   Outcome = "answered"
	NotRun     Outcome = "not_run"
	MayHaveRun Outcome = "may_have_run"
)

// Step names the stage of request handling at which a refusal or error arose.
type Step string

// The steps of a request, in order.
const (
	StepParse     Step = "parse"
	StepIdentify  Step = "identify"
	StepRoute     Step = "route"
	StepKey       Step = "key"
	StepForward   Step = "forward"
	StepAdmission Step = "admission"
	StepChoose    Step = "choose"
	StepConnect   Step = "connect"
	StepWrite     Step = "write"
	StepRead      Step = "read"
)

// Reason is the stable name of a refusal reason; each has a counter.
type Reason string

// The refusal reasons.
const (
	ReasonBadRequest          Reason = "bad_request"
	ReasonUnknownHost         Reason = "unknown_host"
	ReasonUnknownCustomer     Reason = "unknown_customer"
	ReasonKeysNotCurrent      Reason = "keys_not_current"
	ReasonRouteNotAllowed     Reason = "route_not_allowed"
	ReasonNoConfiguration     Reason = "no_configuration"
	ReasonRateLimit           Reason = "rate_limit"
	ReasonConcurrencyLimit    Reason = "concurrency_limit"
	ReasonQueueFull           Reason = "queue_full"
	ReasonDeadlineTooShort    Reason = "deadline_too_short"
	ReasonDeadlineExceeded    Reason = "deadline_exceeded"
	ReasonRetryBudget         Reason = "retry_budget"
	ReasonNoTarget            Reason = "no_target"
	ReasonNoRoom              Reason = "no_room"
	ReasonNoMemory            Reason = "no_memory"
	ReasonCutOff              Reason = "cut_off"
	ReasonForwardFailed       Reason = "forward_failed"
	ReasonCarrierFull         Reason = "carrier_full"
	ReasonRoutesBehind        Reason = "routes_behind"
	ReasonTargetShed          Reason = "target_shed"
	ReasonTargetPaused        Reason = "target_paused"
	ReasonTargetLimited       Reason = "target_limited"
	ReasonTargetRefused       Reason = "target_refused"
	ReasonTargetReset         Reason = "target_reset"
	ReasonTargetTimeout       Reason = "target_timeout"
	ReasonTargetTruncated     Reason = "target_truncated"
	ReasonTargetWrongAnswer   Reason = "target_wrong_answer"
	ReasonTargetUnproven      Reason = "target_unproven"
	ReasonQuarantined         Reason = "quarantined"
	ReasonKeyMalformed        Reason = "key_malformed"
	ReasonKeyWindowClosed     Reason = "key_window_closed"
	ReasonKeyReused           Reason = "key_reused"
	ReasonKeyRecordsFull      Reason = "key_records_full"
	ReasonAlreadyRan          Reason = "already_ran"
	ReasonDispatcherGone      Reason = "dispatcher_gone"
	ReasonDispatcherUnreached Reason = "dispatcher_unreached"
	ReasonBodyTooLarge        Reason = "body_too_large"
	ReasonHeaderTooLarge      Reason = "header_too_large"
	ReasonCallerGone          Reason = "caller_gone"
	ReasonPaused              Reason = "paused"
	ReasonStopping            Reason = "stopping"
)

// Refusal is the error that ends a request without a response from a target.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	Step    Step
	// Peer is the VM, target or caller concerned; empty when there is none.
	Peer string
	// RetryAfter is the time after which the caller may usefully retry; zero when
	// unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the step, reason, outcome, peer and cause of the refusal.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s: %s", r.Step, r.Reason, r.Outcome)
	if r.Peer != "" {
		text = fmt.Sprintf("%s: peer %s", text, r.Peer)
	}
	if r.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, r.Cause)
	}
	return text
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Cause }
