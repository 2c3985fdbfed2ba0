package proxy

import (
	"errors"
	"math/rand/v2"
	"slices"

	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// maxElsewhere is the number of other VMs that a request is forwarded to, one after the
// other, when this VM can connect to no target.
const maxElsewhere = 2

// mayServeElsewhere reports whether another VM may serve a request that this VM refused: no
// connection to a target opened, so that nothing was sent, and the request was not forwarded
// itself.
func (p *Proxy) mayServeElsewhere(c *call, w *replyWriter, err error) bool {
	var refusal *outcome.Refusal
	if !errors.As(err, &refusal) || w.started || !c.upload.replayable() || c.ctx.Err() != nil {
		return false
	}
	return refusal.Outcome == outcome.NotRun && refusal.Reason == outcome.ReasonTargetRefused
}

// forwardElsewhere lets another VM that serves the service run the request, and returns the
// refusal of this VM when there is none.
func (p *Proxy) forwardElsewhere(c *call, w *replyWriter, refusal error) error {
	for _, other := range p.othersServing(c) {
		p.counters.forwards.Inc(1)
		err := p.forwardOnce(c, w, other)
		var noReply *noReplyError
		switch {
		case !errors.As(err, &noReply):
			return err
		case !forwarding.NotSent(err):
			return contract.NewRefusal(outcome.MayHaveRun, outcome.ReasonForwardFailed, outcome.StepForward, other.vm, err)
		}
	}
	return refusal
}

// othersServing returns some other instances that serve the request's service.
func (p *Proxy) othersServing(c *call) []*forwardPeer {
	self, members := p.options.Members.Self(), p.options.Members.Members()
	set := assign.RegionSet(c.service, members, self.GetRegion(), assign.Advertised)
	var serving []string
	for _, vm := range set.VMs() {
		serving = append(serving, vm.Name)
	}
	var others []*forwardPeer
	for _, i := range rand.Perm(len(members)) {
		member := members[i]
		client, ok := p.options.Members.Client(member.GetVm())
		if !ok || member.GetVm() == self.GetVm() || !slices.Contains(serving, member.GetVm()) || len(others) >= maxElsewhere {
			continue
		}
		others = append(others, &forwardPeer{vm: member.GetVm(), instance: member.GetInstance(), client: client})
	}
	return others
}
