package dispatch

import (
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Failure is a way in which an attempt can end without a whole answer.
type Failure int

// The failures of an attempt.
const (
	// FailureConnect is a connection that was refused or not established.
	FailureConnect Failure = iota
	// FailureReset is a connection that closed before the answer's first byte.
	FailureReset
	// FailureCrash is a reset after which the target accepts no connections.
	FailureCrash
	// FailureStall is no first byte of an answer within the attempt's bound.
	FailureStall
	// FailureTruncated is an answer that broke off.
	FailureTruncated
	// FailureWrong is an answer that is not HTTP or carries another correlation.
	FailureWrong
	// FailureShed is a target's word that it did not run the request.
	FailureShed
	// FailureDraining is a leaving target's word that it did not run the request.
	FailureDraining
	// FailureCanceled is a caller that went away or a body that broke off.
	FailureCanceled
	// FailureDeadline is a deadline that passed.
	FailureDeadline
)

// FailedAttempt are what is known when an attempt has failed.
type FailedAttempt struct {
	Failure Failure
	// Written is true when a byte of the request may have reached the target.
	Written bool
	// Idempotent requests may run twice.
	Idempotent bool
	// Suspect requests may have crashed a target before.
	Suspect bool
	// Reused is true when the connection had carried a request before.
	Reused bool
	// Replayable is true when the whole body can be sent again.
	Replayable bool
	// Resets is the number of attempts that ended in a reset on a fresh
	// connection, this one included.
	Resets int
	// Attempts is the number of attempts made, this one included.
	Attempts int
	// Remaining is the time until the deadline.
	Remaining time.Duration
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 3

// MaxResets bounds the targets that one request may reset, since each reset
// may have been a crash.
const MaxResets = 2

// MinRetryTime is the least time before the deadline at which a retry is useful.
const MinRetryTime = 5 * time.Millisecond

// FailureDecision is what follows from a failed attempt.
type FailureDecision struct {
	// Outcome and Reason are told to the caller when there is no retry.
	Outcome outcome.Outcome
	Reason  outcome.Reason
	Step    outcome.Step
	// Retry allows another attempt.
	Retry bool
	// SameTarget sends the retry to the same target over a fresh connection.
	SameTarget bool
	// Blameless failures are no evidence against the target.
	Blameless bool
}

// Decider judges attempts.
type Decider interface {
	// EvaluateFailure decides what a failed attempt means.
	EvaluateFailure(facts FailedAttempt) FailureDecision
	// Combine returns the outcome of a request whose last attempt had the given
	// one, and whose earlier attempts may have run.
	Combine(earlierMayHaveRun bool, last outcome.Outcome) outcome.Outcome
	// Correlates reports whether an answer belongs to the request by the
	// correlation identifiers sent and echoed.
	Correlates(sent string, echoed []string) bool
}

// Rules is the Decider in use.
type Rules struct{}

// EvaluateFailure decides what a failed attempt means.
func (Rules) EvaluateFailure(facts FailedAttempt) FailureDecision {
	verdict := FailureDecision{Outcome: outcomeOf(facts), Reason: reasonOf(facts.Failure), Step: stepOf(facts)}
	verdict.Blameless = blameless(facts)
	verdict.Retry = mayRetry(facts, verdict.Outcome)
	verdict.SameTarget = verdict.Retry && facts.Reused && lostConnection(facts.Failure)
	return verdict
}

func outcomeOf(facts FailedAttempt) outcome.Outcome {
	if !facts.Written {
		return outcome.NotRun
	}
	if facts.Failure == FailureShed || facts.Failure == FailureDraining {
		return outcome.NotRun
	}
	return outcome.MayHaveRun
}

func mayRetry(facts FailedAttempt, result outcome.Outcome) bool {
	if facts.Attempts >= MaxAttempts || facts.Remaining < MinRetryTime || !facts.Replayable {
		return false
	}
	if facts.Resets >= MaxResets || facts.Suspect && result != outcome.NotRun {
		return false
	}
	switch facts.Failure {
	case FailureCanceled, FailureDeadline, FailureCrash:
		return false
	}
	return result == outcome.NotRun || facts.Idempotent
}

// lostConnection reports failures that a reused connection may have caused.
func lostConnection(failure Failure) bool {
	return failure == FailureStall || failure == FailureReset
}

func blameless(facts FailedAttempt) bool {
	switch facts.Failure {
	case FailureCanceled:
		return true
	case FailureDeadline:
		return !facts.Written
	default:
		return facts.Reused && lostConnection(facts.Failure)
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

func stepOf(facts FailedAttempt) outcome.Step {
	if facts.Failure == FailureConnect {
		return outcome.StepConnect
	}
	if !facts.Written {
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
