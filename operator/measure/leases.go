package measure

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/balance"
)

// Tick implements Ticker.
func (c slotChooser) Tick(now time.Duration) {
	if c.lessee == nil {
		return
	}
	c.lessee.Tick(at(now))
	c.keep(now)
	if c.keeper != nil {
		c.reply(now, -1, balance.LeaseReply{}, c.keeper.Expire(at(now)))
	}
}

// keep starts or ends the VM's part as keeper.
func (s *slots) keep(now time.Duration) {
	switch {
	case s.lessee.IsLessor() && s.keeper == nil:
		s.keeper = balance.NewLessor(at(now), s.setting.Random)
		s.keeper.Configure(s.targets())
		s.weights = nil
	case !s.lessee.IsLessor():
		s.keeper = nil
	}
}

// leaseBytes is about the size of one ask, return or grant on the wire, and of
// a message's frame.
const leaseBytes = 24

// Outbox implements Messenger.
func (c slotChooser) Outbox(now time.Duration) []Message {
	if c.lessee == nil {
		return nil
	}
	for pending := c.lessee.Outbox(at(now)); len(pending) > 0; pending = c.lessee.Outbox(at(now)) {
		for _, envelope := range pending {
			c.post(now, envelope)
		}
	}
	out := c.outbox
	c.outbox = nil
	return out
}

// post sends a message to another VM, or handles one to this VM itself.
func (c slotChooser) post(now time.Duration, envelope balance.LeaseEnvelope) {
	message := envelope.Message
	to := slices.Index(c.names(), envelope.To)
	if to == c.setting.VM {
		c.handle(now, to, message)
		return
	}
	size := leaseBytes * (1 + len(message.Requests) + len(message.Returns) + len(message.Held))
	c.outbox = append(c.outbox, Message{To: to, Body: message, Bytes: size})
}

func (s *slots) names() []string {
	names := make([]string, s.setting.VMs)
	for i := range names {
		names[i] = vmName(i)
	}
	return names
}

// ReceiveMessage implements Messenger.
func (c slotChooser) ReceiveMessage(now time.Duration, from int, body any) {
	switch message := body.(type) {
	case balance.LeaseMessage:
		c.handle(now, from, message)
	case balance.LeaseReply:
		c.take(now, from, message)
	}
}

// handle serves a VM's message as keeper.
func (c slotChooser) handle(now time.Duration, from int, message balance.LeaseMessage) {
	c.keep(now)
	if c.keeper == nil {
		c.outbox = append(c.outbox, Message{To: from, Body: balance.LeaseReply{Sequence: message.Sequence}, Bytes: leaseBytes})
		return
	}
	grants, applied := c.keeper.HandleMessage(at(now), vmName(from), message)
	c.reply(now, from, balance.LeaseReply{Sequence: message.Sequence, Resync: !applied}, grants)
}

// reply sends grants, and an answer to the VM that sent a message.
func (c slotChooser) reply(now time.Duration, from int, answer balance.LeaseReply, grants []balance.LeaseGrant) {
	replies := make(map[string]*balance.LeaseReply)
	order := make([]string, 0, len(grants)+1)
	add := func(vm string) *balance.LeaseReply {
		if replies[vm] == nil {
			replies[vm] = &balance.LeaseReply{IsLessor: true, Token: c.keeper.Token(at(now)), Open: c.keeper.Open(at(now)), BusyShare: c.keeper.BusyShare()}
			order = append(order, vm)
		}
		return replies[vm]
	}
	if from >= 0 {
		reply := add(vmName(from))
		reply.Sequence, reply.Resync = answer.Sequence, answer.Resync
	}
	for _, grant := range grants {
		reply := add(grant.VM)
		reply.Grants = append(reply.Grants, grant)
	}
	for _, vm := range order {
		to := slices.Index(c.names(), vm)
		if to == c.setting.VM {
			c.take(now, to, *replies[vm])
			continue
		}
		c.outbox = append(c.outbox, Message{To: to, Body: *replies[vm], Bytes: leaseBytes * (1 + len(replies[vm].Grants))})
	}
}

// take moves granted requests to the front.
func (c slotChooser) take(now time.Duration, from int, reply balance.LeaseReply) {
	for _, grant := range c.lessee.Receive(at(now), vmName(from), reply) {
		waiting, ok := c.waiting[grant.ID]
		if !ok {
			c.lessee.Finish(grant.ID)
			continue
		}
		c.queue.Remove(waiting.entry)
		c.granted[grant.ID] = indexOf(grant.Target)
		c.ready = append(c.ready, waiting.request)
	}
}
