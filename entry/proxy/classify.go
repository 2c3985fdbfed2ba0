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

// crashCheckTimeout bounds the test connection that distinguishes a crashed
// target from a lost connection.
const crashCheckTimeout = 200 * time.Millisecond

// crashReadTimeout is how long the test connection must stay open for the target
// to count as alive.
const crashReadTimeout = 20 * time.Millisecond

// classify returns the kind of failure behind a round trip's error.
func (a *attempt) classify(err error) *failure {
	return &failure{kind: a.failureKind(err), cause: err}
}

func (a *attempt) failureKind(err error) dispatch.Failure {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return dispatch.FailureDeadline
	}
	if a.call.upload.readError() != nil {
		return dispatch.FailureCanceled
	}
	if a.call.ctx.Err() != nil {
		return endedCallFailure(a.call)
	}
	var roundTripErr *contract.RoundTripError
	if !errors.As(err, &roundTripErr) {
		return dispatch.FailureReset
	}
	switch roundTripErr.Kind {
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

// endedCallFailure returns the failure behind a call whose context has ended:
// its deadline passed or its caller disconnected.
func endedCallFailure(c *call) dispatch.Failure {
	if errors.Is(c.ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(c.deadline) {
		return dispatch.FailureDeadline
	}
	return dispatch.FailureCanceled
}

// classifyDelivery returns the kind of failure behind a response that was not
// delivered completely.
func (a *attempt) classifyDelivery(err error) *failure {
	var towardsCaller *callerError
	if errors.As(err, &towardsCaller) {
		return &failure{kind: dispatch.FailureCanceled, cause: err}
	}
	if a.call.ctx.Err() != nil {
		return &failure{kind: endedCallFailure(a.call), cause: err}
	}
	return &failure{kind: dispatch.FailureTruncated, cause: err}
}

// looksCrashed reports whether the target seems to have crashed on the request:
// it failed after the request was written, and a new connection is refused or
// closed at once.
func (a *attempt) looksCrashed(f *failure) bool {
	network := a.proxy.options.Network
	if !maySignalCrash(f.kind) || !a.roundTrip.Written() || network == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.call.ctx), crashCheckTimeout)
	defer cancel()
	conn, err := network.DialContext(ctx, "tcp", a.lease.Target().Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(crashReadTimeout))
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// maySignalCrash reports whether a crash of the target may have caused a
// failure. A wrong response is included: it may have been left over on the
// connection from an earlier request.
func maySignalCrash(kind dispatch.Failure) bool {
	switch kind {
	case dispatch.FailureReset, dispatch.FailureTruncated, dispatch.FailureStall, dispatch.FailureWrong:
		return true
	}
	return false
}

// fellSilent reports whether the target of a written request sent no response in time,
// so that it may have crashed without closing its connections.
func (a *attempt) fellSilent(f *failure) bool {
	if !a.roundTrip.Written() || a.proxy.options.Network == nil {
		return false
	}
	return f.kind == dispatch.FailureStall || f.kind == dispatch.FailureDeadline && time.Since(a.start) >= minTimeoutAsEvidence
}
