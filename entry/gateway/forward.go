package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// maxCarriers is the number of other VMs that a request is forwarded to, one after the other.
const maxCarriers = 3

// Carriers chooses the other VMs that serve what this VM can't, or shouldn't.
type Carriers interface {
	// Primary returns a primary VM of this VM's zone, other than those tried before, that
	// serves the service's requests; ok is false when there is none or this VM is one.
	Primary(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool)
	// Carrier returns a VM that says that it reaches a service, other than those tried
	// before; ok is false when there is none.
	Carrier(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool)
	// CurrentCarrier returns a VM that may be able to serve the service's requests with keys,
	// other than those tried before; ok is false when there is none.
	CurrentCarrier(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool)
	// CarrierUnreachable records that no request could be sent to a VM.
	CarrierUnreachable(vm string)
}

// forwarded is the result of forwarding a request to one VM.
type forwarded struct {
	// response is the target's response, or nil.
	response *targetResponse
	// refusal is why there is no response.
	refusal *outcome.Refusal
	// otherMayServe is true when the request did not run and another VM may serve it.
	otherMayServe bool
}

// forward lets other VMs serve a request for which this VM reaches no target. A request that
// was itself forwarded is refused.
func (q *request) forward(ctx context.Context) (*targetResponse, *outcome.Refusal) {
	if got, refusal, ok := q.tryCarriers(ctx, q.gateway.options.Carriers.Carrier); ok {
		return got, refusal
	}
	if q.failure != nil {
		q.notRetried = string(outcome.ReasonCutOff)
		return q.failure, nil
	}
	return nil, &outcome.Refusal{Outcome: q.outcome(), Reason: outcome.ReasonCutOff, Step: outcome.StepChoose, Peer: q.service, RetryAfter: noTargetWait}
}

// chooseCarrier returns another VM for a service's request, other than those tried before.
type chooseCarrier func(service string, tried []string) (vm string, client primroseloomv1connect.PeerServiceClient, ok bool)

// tryCarriers forwards a request to other VMs, one after the other, until one has served it or
// may have. ok is false when none did.
func (q *request) tryCarriers(ctx context.Context, choose chooseCarrier) (got *targetResponse, refusal *outcome.Refusal, ok bool) {
	var tried []string
	for len(tried) < maxCarriers && !q.isForwarded && q.body.replayable() {
		vm, client, ok := choose(q.service, tried)
		if !ok {
			break
		}
		tried = append(tried, vm)
		result := q.forwardTo(ctx, vm, client)
		q.logForwarded(vm, result)
		if result.response != nil {
			q.keepFailure(nil)
			return result.response, nil, true
		}
		if !result.otherMayServe || ctx.Err() != nil {
			got, refusal = q.afterForward(result.refusal)
			return got, refusal, true
		}
	}
	return nil, nil, false
}

// afterForward returns the response or refusal of a request that another VM refused.
func (q *request) afterForward(refusal *outcome.Refusal) (*targetResponse, *outcome.Refusal) {
	if refusal.Outcome == outcome.MayHaveRun {
		q.mayHaveRun = true
	}
	if q.failure != nil {
		q.notRetried = string(refusal.Reason)
		return q.failure, nil
	}
	refusal.Outcome = q.outcome()
	return nil, refusal
}

// logForwarded logs and counts that a request was forwarded.
func (q *request) logForwarded(vm string, result forwarded) {
	reason := outcome.Reason("")
	if result.refusal != nil {
		reason = result.refusal.Reason
	}
	q.gateway.metrics.forwarded(reason)
	events.RequestForwarded.Log(q.gateway.options.Logger, "request", q.metadata.AttemptID, "vm", vm, "service", q.service, "refused", reason,
		"after_ms", time.Since(q.start).Milliseconds())
}

// forwardTo lets one VM serve the request.
func (q *request) forwardTo(ctx context.Context, vm string, client primroseloomv1connect.PeerServiceClient) forwarded {
	q.moveTo(vm)
	body := q.body.open()
	if body == nil {
		_, refusal := q.withoutBody()
		return forwarded{refusal: refusal}
	}
	x, err := forwarding.Start(ctx, client, q.forwardHead(), body)
	if err != nil {
		return q.forwardFailed(ctx, vm, err)
	}
	end := func() {
		x.Close()
		_ = body.Close() // never fails
	}
	response, refusal, err := x.Response()
	if err != nil {
		end()
		return q.forwardFailed(ctx, vm, err)
	}
	if refusal != nil {
		end()
		return refusedByVM(vm, refusal)
	}
	got, err := q.readResponse(response)
	if err != nil {
		end()
		return q.forwardFailed(ctx, vm, err)
	}
	if got.rest != nil {
		got.finish = func(error) { end() }
		return forwarded{response: got}
	}
	end()
	return forwarded{response: got}
}

// forwardHead returns the head of the forwarded request.
func (q *request) forwardHead() *primroseloomv1.ForwardHead {
	header := q.caller.Header.Clone()
	removeHopByHopHeaders(header)
	return &primroseloomv1.ForwardHead{
		Fleet:         q.gateway.options.Fleet,
		FromVm:        q.gateway.options.VM,
		Service:       q.service,
		Method:        []byte(q.caller.Method),
		Host:          []byte(q.caller.Host),
		RequestUri:    []byte(q.caller.URL.RequestURI()),
		Headers:       forwarding.FieldsOf(header),
		DeadlineMs:    uint32(max(1, q.remaining().Milliseconds())),
		ContentLength: q.body.length,
		CallerAddress: q.caller.RemoteAddr,
		RoutesVersion: q.routesVersion,
		SentAttempts:  uint32(q.sentAttempts),
		QuotaCharged:  q.isCharged,
	}
}

// forwardFailed returns the result of a forwarded request without a response. Unless no
// connection to the VM opened, the request may have run.
func (q *request) forwardFailed(ctx context.Context, vm string, err error) forwarded {
	refusal := &outcome.Refusal{Outcome: outcome.MayHaveRun, Reason: outcome.ReasonForwardFailed, Step: outcome.StepForward, Peer: vm, Cause: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refusal.Reason = outcome.ReasonTargetTimeout
	case forwarding.NotSent(err):
		q.gateway.options.Carriers.CarrierUnreachable(vm)
		refusal.Outcome, refusal.RetryAfter = outcome.NotRun, noTargetWait
		return forwarded{refusal: refusal, otherMayServe: true}
	}
	return forwarded{refusal: refusal}
}

// refusedByVM returns the result of a request that another VM refused.
func refusedByVM(vm string, message *primroseloomv1.ForwardRefusal) forwarded {
	refusal := &outcome.Refusal{
		Outcome: outcome.MayHaveRun, Reason: outcome.Reason(message.GetReason()), Step: outcome.Step(message.GetStep()), Peer: vm + "/" + message.GetPeer(),
		RetryAfter: time.Duration(message.GetRetryAfterMs()) * time.Millisecond,
	}
	if !message.GetNotRun() {
		return forwarded{refusal: refusal}
	}
	refusal.Outcome = outcome.NotRun
	switch refusal.Reason {
	case outcome.ReasonCutOff, outcome.ReasonCarrierFull, outcome.ReasonRoutesBehind, outcome.ReasonNoConfiguration,
		outcome.ReasonKeysNotCurrent, outcome.ReasonNoMemory, outcome.ReasonStopping:
		return forwarded{refusal: refusal, otherMayServe: true}
	}
	return forwarded{refusal: refusal}
}
