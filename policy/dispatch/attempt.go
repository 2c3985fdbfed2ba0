package dispatch

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Failure is a way in which an attempt can end without a complete response.
type Failure int

// The failures of an attempt.
const (
	// FailureConnect is a connection that was refused or not established.
	FailureConnect Failure = iota
	// FailureReset is a connection that closed before the first byte of the response.
	FailureReset
	// FailureCrash is a reset after which the target accepts no connections.
	FailureCrash
	// FailureStall is an attempt that timed out before the first byte of a response.
	FailureStall
	// FailureTruncated is a response that ended early.
	FailureTruncated
	// FailureWrong is a response that is not HTTP or whose correlation identifier
	// is that of another request.
	FailureWrong
	// FailureShed is a target's statement that it did not run the request.
	FailureShed
	// FailureDraining is a draining target's statement that it did not run the request.
	FailureDraining
	// FailureCanceled is a caller that disconnected or a request body that ended early.
	FailureCanceled
	// FailureDeadline is a deadline that passed.
	FailureDeadline
)

// FailedAttempt is what is known about an attempt that failed.
type FailedAttempt struct {
	Failure Failure
	// Written is true when a byte of the request may have reached the target.
	Written bool
	// Idempotent is true when the request may run twice.
	Idempotent bool
	// Suspect is true when the request may have crashed a target before.
	Suspect bool
	// Reused is true when the connection had carried a request before.
	Reused bool
	// Replayable is true when the complete body can be sent again.
	Replayable bool
	// Resets is the number of attempts that ended in a reset on a new
	// connection, this one included.
	Resets int
	// Sends is the number of times that the request was sent, this attempt included.
	Sends int
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 3

// MaxResets bounds the attempts of one request that end in a reset on a new
// connection, since each such reset may have been a crash.
const MaxResets = 2

// MinRetryTime is the minimum time before the deadline at which a retry is useful.
const MinRetryTime = 5 * time.Millisecond

// FailureDecision is what a failed attempt means for its request and target.
type FailureDecision struct {
	// Outcome, Reason and Step describe the refusal that the caller receives when
	// there is no retry.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Step    outcome.Step
	// Retry allows another attempt.
	Retry bool
	// SameTarget sends the retry to the same target over a new connection.
	SameTarget bool
	// Blameless is true when the failure is no evidence against the target.
	Blameless bool
}

// Decider interprets the results of attempts.
type Decider interface {
	// EvaluateFailure decides what a failed attempt means.
	EvaluateFailure(failed FailedAttempt) FailureDecision
	// Combine returns the outcome of a request from the outcome of its last
	// attempt and from whether an earlier attempt may have run.
	Combine(earlierMayHaveRun bool, last outcome.Outcome) outcome.Outcome
	// Correlates reports whether a response belongs to the request, by comparing
	// the correlation identifier that was sent with those that were echoed.
	Correlates(sent string, echoed []string) bool
}

// Rules implements Decider and WriteChecker.
type Rules struct{}

// EvaluateFailure implements Decider.
func (Rules) EvaluateFailure(failed FailedAttempt) FailureDecision {
	decision := FailureDecision{Outcome: outcomeOf(failed), Reason: reasonOf(failed.Failure), Step: stepOf(failed)}
	decision.Blameless = blameless(failed)
	decision.Retry = mayRetry(failed, decision.Outcome)
	decision.SameTarget = decision.Retry && failed.Reused && mayBeStaleConnection(failed.Failure)
	return decision
}

func outcomeOf(failed FailedAttempt) outcome.Outcome {
	if !failed.Written {
		return outcome.NotRun
	}
	if failed.Failure == FailureShed || failed.Failure == FailureDraining {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}

func mayRetry(failed FailedAttempt, result outcome.Outcome) bool {
	if failed.Sends >= MaxAttempts || failed.Remaining < MinRetryTime || !failed.Replayable {
		return false
	}
	if failed.Resets >= MaxResets || failed.Suspect && result != outcome.NotRun {
		return false
	}
	switch failed.Failure {
	case FailureCanceled, FailureDeadline, FailureCrash:
		return false
	}
	return result == outcome.NotRun || failed.Idempotent
}

// mayBeStaleConnection reports whether the failure may be due to a stale reused
// connection.
func mayBeStaleConnection(failure Failure) bool {
	return failure == FailureStall || failure == FailureReset
}

func blameless(failed FailedAttempt) bool {
	switch failed.Failure {
	case FailureCanceled:
		return true
	case FailureDeadline:
		return !failed.Written
	default:
		return failed.Reused && mayBeStaleConnection(failed.Failure)
	}
}

func reasonOf(failure Failure) outcome.Reason {
	switch failure {
	case FailureConnect:
		return outcome.ReasonTargetRefused
	case FailureReset, FailureCrash:
		return outcome.ReasonTargetReset
	case FailureStall:
		return outcome.ReasonTargetTimeout
	case FailureTruncated:
		return outcome.ReasonTargetTruncated
	case FailureWrong:
		return outcome.ReasonTargetWrongAnswer
	case FailureShed, FailureDraining:
		return outcome.ReasonTargetShed
	case FailureCanceled:
		return outcome.ReasonCallerGone
	default:
		return outcome.ReasonDeadlineExceeded
	}
}

func stepOf(failed FailedAttempt) outcome.Step {
	if failed.Failure == FailureConnect {
		return outcome.StepConnect
	}
	if !failed.Written {
		return outcome.StepWrite
	}
	return outcome.StepRead
}

// Combine implements Decider.
func (Rules) Combine(earlierMayHaveRun bool, last outcome.Outcome) outcome.Outcome {
	if earlierMayHaveRun && last == outcome.NotRun {
		return outcome.MayHaveRun
	}
	return last
}

// Correlates implements Decider.
func (Rules) Correlates(sent string, echoed []string) bool {
	return len(echoed) == 1 && echoed[0] == sent
}
