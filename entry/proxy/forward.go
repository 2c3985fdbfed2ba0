package proxy

import (
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// maxForwardAttempts bounds how often a request is sent to its dispatcher. A
// retry is safe: the dispatcher's record makes the second request join the
// first.
const maxForwardAttempts = 2

// forward sends a keyed request to its dispatcher on another VM and relays the
// response.
func (p *Proxy) forward(c *call, w *replyWriter) error {
	dispatcher, err := p.dispatcherPeer(c.key)
	if err != nil {
		return err
	}
	p.counters.forwards.Inc(1)
	for attempt := 1; ; attempt++ {
		err := p.forwardOnce(c, w, dispatcher)
		var noReply *noReplyError
		if !errors.As(err, &noReply) {
			return err
		}
		refusal := contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, c.key.VM, err)
		if attempt >= maxForwardAttempts || c.ctx.Err() != nil || !c.upload.replayable() {
			return refusal
		}
		p.counters.countRetry(refusal.Reason)
	}
}

// forwardPeer is an instance to which a request is forwarded.
type forwardPeer struct {
	vm       string
	instance uint64
	client   primroseloomv1connect.PeerServiceClient
}

// noReplyError is a forward that ended before the other instance responded.
type noReplyError struct{ cause error }

// Error returns the error's text.
func (e *noReplyError) Error() string {
	return fmt.Sprintf("no word of the other instance: %v", e.cause)
}

// Unwrap returns the underlying error.
func (e *noReplyError) Unwrap() error { return e.cause }

// dispatcherPeer returns a key's dispatcher, or a refusal when the instance that the key
// names no longer exists.
func (p *Proxy) dispatcherPeer(key *dispatch.Key) (*forwardPeer, error) {
	refusal := contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, key.VM, nil)
	for _, member := range p.options.Members.Members() {
		if member.GetVm() == key.VM && member.GetInstance() != key.Instance {
			return nil, refusal
		}
	}
	client, ok := p.options.Members.Client(key.VM)
	if !ok || key.VM == p.options.Members.Self().GetVm() {
		return nil, refusal
	}
	return &forwardPeer{vm: key.VM, instance: key.Instance, client: client}, nil
}

// forwardOnce sends the request over one stream to another instance and relays the
// response.
func (p *Proxy) forwardOnce(c *call, w *replyWriter, to *forwardPeer) error {
	x, err := forwarding.Start(c.ctx, to.client, p.forwardHead(c, to.instance), c.upload.open())
	if err != nil {
		return &noReplyError{err}
	}
	defer x.Close()
	err = p.relayResponse(c, w, x, to.vm)
	x.Cancel()
	c.upload.stopAndWait(x.BodySent())
	return err
}

func (p *Proxy) forwardHead(c *call, instance uint64) *primroseloomv1.ForwardHead {
	r := c.request
	head := &primroseloomv1.ForwardHead{
		Fleet:         p.options.Fleet,
		FromVm:        p.options.Members.Self().GetVm(),
		Instance:      instance,
		Service:       c.service.Name,
		Customer:      c.customer,
		Method:        []byte(r.Method),
		Host:          []byte(r.Host),
		RequestUri:    []byte(r.URL.RequestURI()),
		DeadlineMs:    uint32(max(1, time.Until(c.deadline).Milliseconds())),
		ContentLength: r.ContentLength,
	}
	header := requestHeader(r)
	head.Headers = forwarding.FieldsOf(header)
	return head
}

// relayResponse passes the response of the instance on a VM on to the caller.
func (p *Proxy) relayResponse(c *call, w *replyWriter, x *forwarding.Exchange, vm string) error {
	response, _, err := x.Response()
	if errors.Is(err, forwarding.ErrNoHead) {
		return &noReplyError{err}
	}
	if err != nil {
		return p.forwardFailure(c, err, vm)
	}
	reported := outcome.Outcome(response.Header.Get(OutcomeHeader))
	buffered, err := p.bufferOrStream(w, response, c)
	if err != nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherUnreached, outcome.StepForward, vm, err)
	}
	return sendBuffered(w, buffered, c.request.Method, reported)
}

// forwardFailure returns the error for a stream that ended before the instance on a VM
// responded.
func (p *Proxy) forwardFailure(c *call, err error, vm string) error {
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonDispatcherGone, outcome.StepForward, vm, err)
	}
	if bodyErr := c.upload.readError(); bodyErr != nil {
		return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonCallerGone, outcome.StepForward, c.request.RemoteAddr, bodyErr)
	}
	return &noReplyError{err}
}
