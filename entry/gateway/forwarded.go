package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// maxForwarded bounds the requests of other VMs that are served at a time, so that this VM's
// own callers do not starve.
const maxForwarded = 64

// AwaitForwarded waits until no forwarded request of another VM is in progress, and then lets none
// begin: the process ends, and its response would be lost. The second wait is for those that began
// between the first one and Close.
func (g *Gateway) AwaitForwarded(ctx context.Context) error {
	if err := g.forwarded.Await(ctx); err != nil {
		return err
	}
	g.forwarded.Close()
	return g.forwarded.Await(ctx)
}

// Forward serves a request that another VM forwards, since that VM can't serve it. It is not
// forwarded again.
func (g *Gateway) Forward(ctx context.Context, stream *forwarding.Stream) (err error) {
	head, err := forwarding.ReceiveHead(stream)
	if err != nil {
		return err
	}
	if head == nil || head.GetFleet() != g.options.Fleet {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("no head, or another fleet's"))
	}
	r, err := forwarding.NewRequest(ctx, head, stream)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	if body, ok := r.Body.(*forwarding.RequestBody); ok {
		defer body.CancelReads()
	}
	w := forwarding.NewResponseWriter(stream, r.Body)
	end, ok := g.forwarded.Begin(maxForwarded)
	if !ok {
		return w.Refuse(refusalMessage(refuse(outcome.ReasonCarrierFull, outcome.StepForward, shedWait)))
	}
	defer end()
	defer func() {
		if cause := recover(); cause != nil {
			err = forwarding.AbortError(cause)
		}
	}()
	if refusal := g.serveForwarded(w, r, head); refusal != nil {
		return w.Refuse(refusalMessage(refusal))
	}
	return w.Finish()
}

// serveForwarded serves a forwarded request, or returns why not.
func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request, head *primroseloomv1.ForwardHead) *outcome.Refusal {
	q := g.newRequest(w, r)
	q.isForwarded, q.forwardedService = true, head.GetService()
	q.sentAttempts = int(head.GetSentAttempts())
	q.isCharged = head.GetQuotaCharged() || q.sentAttempts > 0 // the VM of an earlier attempt charged it
	q.metadata.Remaining = time.Duration(head.GetDeadlineMs()) * time.Millisecond
	if table := g.options.Table(); table != nil && table.Version() < head.GetRoutesVersion() {
		return refuse(outcome.ReasonRoutesBehind, outcome.StepRoute, noConfigurationWait)
	}
	refusal := g.serve(w, q)
	if refusal != nil {
		g.metrics.refused(refusal.Reason)
		events.ForwardedNotServed.Log(g.options.Logger, "request", q.metadata.AttemptID, "vm", head.GetFromVm(), "outcome", refusal.Outcome,
			"reason", refusal.Reason, "step", refusal.Step, "peer", refusal.Peer, "cause", refusal.Cause)
	}
	return refusal
}

// refusalMessage returns the message that tells the forwarding VM of a refusal.
func refusalMessage(refusal *outcome.Refusal) *primroseloomv1.ForwardRefusal {
	return &primroseloomv1.ForwardRefusal{
		NotRun: refusal.Outcome == outcome.NotRun, Reason: string(refusal.Reason), Step: string(refusal.Step), Peer: refusal.Peer,
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
	}
}

// pickService returns the service that serves the request: that which the forwarding VM
// picked, if the route still has it, or one picked by the route's weights.
func (q *request) pickService(point float64) string {
	isForwarded := func(share routing.Share) bool { return share.Service == q.forwardedService }
	if slices.ContainsFunc(q.route.Split, isForwarded) {
		return q.forwardedService
	}
	return q.route.Pick(point)
}
