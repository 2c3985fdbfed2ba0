package proxy

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// crashCheckTime bounds the connection that tells a crash from a lost connection.
const crashCheckTime = 200 * time.Millisecond

// crashReadTime is how long that connection must stay open to show a live target.
const crashReadTime = 20 * time.Millisecond

// classify names the failure behind a round trip's error.
func (a *attempt) classify(err error) *failure {
	return &failure{kind: a.kindOf(err), cause: err}
}

func (a *attempt) kindOf(err error) dispatch.Failure {
	var late *outcome.Refusal
	if errors.As(err, &late) {
		return dispatch.FailureDeadline
	}
	if a.call.upload.failed() != nil {
		return dispatch.FailureCanceled
	}
	if a.call.ctx.Err() != nil {
		return endOfCall(a.call)
	}
	var trip *contract.RoundTripError
	if !errors.As(err, &trip) {
		return dispatch.FailureReset
	}
	switch trip.Kind {
	case contract.AttemptRefused:
		return dispatch.FailureConnect
	case contract.AttemptTimedOut:
		return dispatch.FailureStall
	case contract.AttemptTruncated:
		return dispatch.FailureTruncated
	case contract.AttemptWrong:
		return dispatch.FailureWrong
	case contract.AttemptCanceled:
		return dispatch.FailureCanceled
	}
	return dispatch.FailureReset
}

// endOfCall tells a passed deadline from a caller that went away.
func endOfCall(c *call) dispatch.Failure {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.deadline) {
		return dispatch.FailureDeadline
	}
	return dispatch.FailureCanceled
}

// classifyDelivery names the failure behind an answer that was not delivered.
func (a *attempt) classifyDelivery(err error) *failure {
	var towardsCaller *callerError
	if errors.As(err, &towardsCaller) {
		return &failure{kind: dispatch.FailureCanceled, cause: err}
	}
	if a.call.ctx.Err() != nil {
		return &failure{kind: endOfCall(a.call), cause: err}
	}
	return &failure{kind: dispatch.FailureTruncated, cause: err}
}

// looksCrashed reports whether the target is gone after it took the request:
// its connection was lost, and a new one is refused or closed at once.
func (a *attempt) looksCrashed(failed *failure) bool {
	network := a.proxy.options.Network
	if !mayHideCrash(failed.kind) || !a.trip.Written() || network == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.call.ctx), crashCheckTime)
	defer cancel()
	conn, err := network.DialContext(ctx, "tcp", a.grant.Target().Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(crashReadTime))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// mayHideCrash reports failures that a crash of the target may lie behind. A
// wrong answer is one of them: it may have been left over on the connection.
func mayHideCrash(kind dispatch.Failure) bool {
	switch kind {
	case dispatch.FailureReset, dispatch.FailureTruncated, dispatch.FailureStall, dispatch.FailureWrong:
		return true
	}
	return false
}
