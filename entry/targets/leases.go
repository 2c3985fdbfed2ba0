package targets

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/subset"
)

// leases is the state of a service that shares its targets' slots with other
// VMs. A service without it chooses targets locally. The service's lock must be
// held during each call.
type leases struct {
	vm     string
	lessee *balance.Lessee
	// lessor is set while this VM leases out the slots of the service.
	lessor *balance.Lessor
	// waiting holds the requests that wait for a lease, by request ID.
	waiting map[uint64]*waitEntry
	// sendMessage sends a message to a lessor, sendReply a reply to a lessee.
	sendMessage func(service, to string, message balance.LeaseMessage)
	sendReply   func(service, to string, reply balance.LeaseReply)
}

// useLeases makes a service share slots with other VMs.
func (s *service) useLeases(vm string, sendMessage func(string, string, balance.LeaseMessage), sendReply func(string, string, balance.LeaseReply)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = &leases{
		vm: vm, lessee: balance.NewLessee(vm), waiting: make(map[uint64]*waitEntry), sendMessage: sendMessage, sendReply: sendReply,
	}
}

// setLessorCandidates ranks the candidates for lessor; the lock must be held.
func (s *service) setLessorCandidates(alive []subset.VM) {
	if s.leases == nil {
		return
	}
	var order []string
	for _, vm := range subset.Choose("keeper/"+s.name, alive, len(alive)) {
		order = append(order, vm.Name)
	}
	s.leases.lessee.Configure(order)
}

// choosesLocally reports whether the VM chooses targets without the lessor at
// this time, and whether one more request may start.
func (s *service) choosesLocally(now time.Time) (local, mayStart bool) {
	if s.leases == nil {
		return true, true
	}
	if s.leases.lessee.Optimistic(now) {
		return true, true
	}
	if !s.leases.lessee.ChoosesLocally() {
		return false, false
	}
	return true, s.window.Allows(s.inFlight)
}

// requestSlot requests a lease for a waiting request.
func (s *service) requestSlot(entry *waitEntry, customer string, weight float64) {
	if s.leases == nil {
		return
	}
	w := entry.Item
	s.leases.waiting[w.id] = entry
	s.leases.lessee.Request(balance.SlotRequest{
		ID: w.id, Customer: customer, Weight: weight, Zone: s.zone, Idempotent: w.want.Idempotent,
		Exclude: s.addUnusable(w.want.Exclude), Deadline: w.deadline,
	})
}

// addUnusable adds to the exclusions the targets that get no work by this VM's
// evaluation or pause.
func (s *service) addUnusable(exclude []string) []string {
	exclude = append(slices.Clone(exclude), s.pausedTargets(time.Now())...)
	s.evaluator.forEachCondition(s.targetNames, func(name string, condition balance.Condition) {
		if condition.Weight <= 0 {
			exclude = append(exclude, name)
		}
	})
	return exclude
}

// reportTaken reports to the lessor a slot taken without a lease.
func (s *service) reportTaken(id uint64, target string) {
	if s.leases != nil {
		delete(s.leases.waiting, id)
		s.leases.lessee.ReportTaken(id, target)
	}
}

// releaseSlot withdraws the request for a slot or returns the slot.
func (s *service) releaseSlot(id uint64) {
	if s.leases != nil {
		delete(s.leases.waiting, id)
		s.leases.lessee.Finish(id)
	}
}

// adjustWindow adapts the window to the result of an attempt, and reports a shed
// request to the lessor.
func (s *service) adjustWindow(now time.Time, target string, kind contract.AttemptKind) {
	switch kind {
	case contract.AttemptSucceeded:
		s.window.Succeeded(s.inFlight)
	case contract.AttemptShed:
		s.window.Shed(now, s.meanServiceTime)
		if s.leases != nil {
			s.leases.lessee.ReportShed(target)
		}
	}
}

// sendLeaseMessages sends the lessee's pending messages; the lock must be held.
// A message to this VM itself is handled directly and may cause further
// messages, hence the rounds.
func (s *service) sendLeaseMessages(now time.Time) {
	if s.leases == nil {
		return
	}
	const rounds = 4
	for range rounds {
		envelopes := s.leases.lessee.Outbox(now)
		if len(envelopes) == 0 {
			return
		}
		for _, envelope := range envelopes {
			if envelope.To == s.leases.vm {
				s.handleLeaseMessage(now, envelope.To, envelope.Message)
				continue
			}
			s.leases.sendMessage(s.name, envelope.To, envelope.Message)
		}
	}
}

// tickLeases does the periodic work of lessee and lessor; the lock must be held.
func (s *service) tickLeases(now time.Time) {
	if s.leases == nil {
		return
	}
	s.leases.lessee.Tick(now)
	s.updateLessorRole(now)
	if s.leases.lessor != nil {
		s.sendLeaseReplies(now, "", balance.LeaseReply{}, s.leases.lessor.Expire(now))
	}
	s.sendLeaseMessages(now)
}

// updateLessorRole makes this VM the lessor of the service, or ends that role,
// as the lessee's ranking of candidates demands.
func (s *service) updateLessorRole(now time.Time) {
	l := s.leases
	switch {
	case l.lessee.IsLessor() && l.lessor == nil:
		l.lessor = balance.NewLessor(now, s.rng)
		s.configureLessor()
	case !l.lessee.IsLessor():
		l.lessor = nil
	}
}

// configureLessor passes the targets to the lessor.
func (s *service) configureLessor() {
	if s.leases == nil || s.leases.lessor == nil {
		return
	}
	var targets []balance.Target
	for _, name := range s.targetNames {
		t := s.targets[name]
		targets = append(targets, balance.Target{Name: name, Zone: t.definition.Zone, Slots: s.definition.Slots})
	}
	s.leases.lessor.Configure(targets)
}

// handleLeaseMessage handles a lessee's message, or declines it when this VM is
// not the lessor.
func (s *service) handleLeaseMessage(now time.Time, from string, message balance.LeaseMessage) {
	s.updateLessorRole(now)
	lessor := s.leases.lessor
	if lessor == nil {
		s.leases.sendReply(s.name, from, balance.LeaseReply{Sequence: message.Sequence})
		return
	}
	grants, applied := lessor.HandleMessage(now, from, message)
	s.sendLeaseReplies(now, from, balance.LeaseReply{Sequence: message.Sequence, Resync: !applied}, grants)
}

// sendLeaseReplies sends new leases to the VMs that requested them, together
// with the response to the message of the VM from, if from is not empty.
func (s *service) sendLeaseReplies(now time.Time, from string, response balance.LeaseReply, grants []balance.LeaseGrant) {
	byVM := make(map[string][]balance.LeaseGrant)
	order := []string{}
	if from != "" {
		order = append(order, from)
	}
	for _, grant := range grants {
		if !slices.Contains(order, grant.VM) {
			order = append(order, grant.VM)
		}
		byVM[grant.VM] = append(byVM[grant.VM], grant)
	}
	for _, vm := range order {
		reply := balance.LeaseReply{}
		if vm == from {
			reply = response
		}
		lessor := s.leases.lessor
		reply.IsLessor, reply.Open, reply.BusyShare, reply.Token = true, lessor.Open(now), lessor.BusyShare(), lessor.Token(now)
		reply.Grants = byVM[vm]
		if vm == s.leases.vm {
			s.receiveLeaseReply(now, vm, reply)
			continue
		}
		s.leases.sendReply(s.name, vm, reply)
	}
}

// receiveLeaseReply passes leased slots to the requests that wait for them.
func (s *service) receiveLeaseReply(now time.Time, from string, reply balance.LeaseReply) {
	for _, grant := range s.leases.lessee.Receive(now, from, reply) {
		entry, ok := s.leases.waiting[grant.ID]
		if !ok {
			s.leases.lessee.Finish(grant.ID)
			continue
		}
		delete(s.leases.waiting, grant.ID)
		if !s.balancer.Accepts(grant.Target) {
			s.leases.lessee.Finish(grant.ID)
			s.requestSlotAgain(entry)
			continue
		}
		s.queue.Remove(entry)
		s.balancer.TakeNamed(grant.Target)
		s.grantSlot(now, entry, grant.Target)
	}
}

// requestSlotAgain requests another lease, under a new ID, for a request whose
// leased slot this VM cannot use.
func (s *service) requestSlotAgain(entry *waitEntry) {
	s.nextID++
	entry.Item.id = s.nextID
	customer, weight := entry.Owner()
	s.requestSlot(entry, customer, weight)
}

// grantSlot passes a target with a slot to a waiting request.
func (s *service) grantSlot(now time.Time, entry *admission.Entry[*waiter], target string) {
	s.inFlight++
	s.queueDrain.ItemLeft(now, s.queue.Len() > 0)
	entry.Item.granted <- target
}
