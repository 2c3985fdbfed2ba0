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
	c.lessee.Tick(wallTime(now))
	c.updateLessor(now)
	if c.lessor != nil {
		c.reply(now, -1, balance.LeaseReply{}, c.lessor.Expire(wallTime(now)))
	}
}

// updateLessor starts or ends the VM's role as lessor.
func (s *slotState) updateLessor(now time.Duration) {
	switch {
	case s.lessee.IsLessor() && s.lessor == nil:
		s.lessor = balance.NewLessor(wallTime(now), s.config.Random)
		s.lessor.Configure(s.targets())
		s.weights = nil
	case !s.lessee.IsLessor():
		s.lessor = nil
	}
}

// leaseBytes is the approximate size on the wire of one lease request, return,
// held lease or grant, and of a lease message without entries.
const leaseBytes = 24

// Outbox implements Messenger.
func (c slotChooser) Outbox(now time.Duration) []Message {
	if c.lessee == nil {
		return nil
	}
	for pending := c.lessee.Outbox(wallTime(now)); len(pending) > 0; pending = c.lessee.Outbox(wallTime(now)) {
		for _, envelope := range pending {
			c.sendLeaseMessage(now, envelope)
		}
	}
	out := c.outbox
	c.outbox = nil
	return out
}

// sendLeaseMessage adds a message for another VM to the outbox, or handles it
// directly when this VM is the receiver.
func (c slotChooser) sendLeaseMessage(now time.Duration, envelope balance.LeaseEnvelope) {
	message := envelope.Message
	to := slices.Index(c.allVMNames(), envelope.To)
	if to == c.config.VM {
		c.handleLeaseMessage(now, to, message)
		return
	}
	size := leaseBytes * (1 + len(message.Requests) + len(message.Returns) + len(message.Held))
	c.outbox = append(c.outbox, Message{To: to, Body: message, Bytes: size})
}

// allVMNames returns the names of all VMs, indexed by VM.
func (s *slotState) allVMNames() []string {
	names := make([]string, s.config.VMs)
	for i := range names {
		names[i] = vmName(i)
	}
	return names
}

// ReceiveMessage implements Messenger.
func (c slotChooser) ReceiveMessage(now time.Duration, from int, body any) {
	switch message := body.(type) {
	case balance.LeaseMessage:
		c.handleLeaseMessage(now, from, message)
	case balance.LeaseReply:
		c.applyReply(now, from, message)
	}
}

// handleLeaseMessage handles a lessee's message as lessor, or replies that this
// VM is not the lessor.
func (c slotChooser) handleLeaseMessage(now time.Duration, from int, message balance.LeaseMessage) {
	c.updateLessor(now)
	if c.lessor == nil {
		c.outbox = append(c.outbox, Message{To: from, Body: balance.LeaseReply{Sequence: message.Sequence}, Bytes: leaseBytes})
		return
	}
	grants, applied := c.lessor.HandleMessage(wallTime(now), vmName(from), message)
	c.reply(now, from, balance.LeaseReply{Sequence: message.Sequence, Resync: !applied}, grants)
}

// reply sends grants to their lessees, and an acknowledgment to VM from, the
// sender of a message; a negative from means that there is none.
func (c slotChooser) reply(now time.Duration, from int, acknowledgment balance.LeaseReply, grants []balance.LeaseGrant) {
	replies := make(map[string]*balance.LeaseReply)
	order := make([]string, 0, len(grants)+1)
	add := func(vm string) *balance.LeaseReply {
		if replies[vm] == nil {
			replies[vm] = &balance.LeaseReply{IsLessor: true, Token: c.lessor.Token(wallTime(now)), Open: c.lessor.Open(wallTime(now)), BusyShare: c.lessor.BusyShare()}
			order = append(order, vm)
		}
		return replies[vm]
	}
	if from >= 0 {
		reply := add(vmName(from))
		reply.Sequence, reply.Resync = acknowledgment.Sequence, acknowledgment.Resync
	}
	for _, grant := range grants {
		reply := add(grant.VM)
		reply.Grants = append(reply.Grants, grant)
	}
	for _, vm := range order {
		to := slices.Index(c.allVMNames(), vm)
		if to == c.config.VM {
			c.applyReply(now, to, *replies[vm])
			continue
		}
		c.outbox = append(c.outbox, Message{To: to, Body: *replies[vm], Bytes: leaseBytes * (1 + len(replies[vm].Grants))})
	}
}

// applyReply moves the requests that got a lease from the queue to ready, and
// returns leases whose request no longer waits.
func (c slotChooser) applyReply(now time.Duration, from int, reply balance.LeaseReply) {
	for _, grant := range c.lessee.Receive(wallTime(now), vmName(from), reply) {
		waiting, ok := c.waiting[grant.ID]
		if !ok {
			c.lessee.Finish(grant.ID)
			continue
		}
		c.queue.Remove(waiting.entry)
		c.granted[grant.ID] = targetIndex(grant.Target)
		c.ready = append(c.ready, waiting.request)
	}
}
