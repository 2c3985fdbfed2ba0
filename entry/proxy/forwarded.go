package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Forward serves a keyed request that another VM forwards to this one as its
// dispatcher. It returns FailedPrecondition when the request is meant for
// another instance of this VM.
func (p *Proxy) Forward(ctx context.Context, stream *forwarding.Stream) (err error) {
	end, _ := p.forwardedRequests.Begin(0)
	defer end()
	head, err := forwarding.ReceiveHead(stream)
	if err != nil {
		return err
	}
	if head == nil || head.GetFleet() != p.options.Fleet {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("no head, or another fleet's"))
	}
	if head.GetInstance() != p.options.Members.Self().GetInstance() {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the dispatcher has been replaced"))
	}
	request, err := forwarding.NewRequest(ctx, head, stream)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	writer := forwarding.NewResponseWriter(stream, request.Body)
	defer func() {
		if cause := recover(); cause != nil {
			err = forwarding.AbortError(cause)
		}
	}()
	reply := &replyWriter{ResponseWriter: writer, stallTimeout: p.limits.StallTimeout}
	if refusal := p.serveForwarded(reply, request, head); refusal != nil {
		p.sendRefusal(reply, request, refusal)
	}
	return writer.Finish()
}

// serveForwarded dispatches a keyed request, or runs one without a key, whose customer the
// forwarding VM has identified. It is not forwarded again.
func (p *Proxy) serveForwarded(w *replyWriter, r *http.Request, head *primroseloomv1.ForwardHead) error {
	snap := p.options.Configuration.Current()
	if snap == nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonNoConfiguration, outcome.StepForward, head.GetFromVm(), nil)
	}
	service, ok := snap.Service(head.GetService())
	if !ok {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonRouteNotAllowed, outcome.StepForward, head.GetFromVm(), nil)
	}
	c, err := p.newCall(r, head.GetCustomer(), service, time.Duration(head.GetDeadlineMs())*time.Millisecond)
	if err != nil {
		return uncertainIfKeyed(r, err)
	}
	defer c.cancel()
	defer c.held.release()
	defer c.kept.release()
	defer c.upload.stop()
	if body, ok := r.Body.(*forwarding.RequestBody); ok {
		defer body.CancelReads()
		c.upload.setReadDeadline = body.SetReadDeadline
	}
	if c.key != nil && !p.isDispatcher(c.key) {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, head.GetFromVm(), nil)
	}
	if err := p.reservePrefix(c); err != nil {
		return uncertainIfKeyed(r, err)
	}
	if err := c.upload.readPrefix(); err != nil {
		return uncertainIfKeyed(r, uploadRefusal(err, head.GetFromVm()))
	}
	if c.key == nil {
		return p.runUnkeyed(c, w)
	}
	return p.dispatchKeyed(c, w)
}
