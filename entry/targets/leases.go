package targets

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/subset"
)

// leases is the part of a service that shares slots with other VMs. Without
// it, the VM chooses targets by itself. The service's lock is held during each
// call.
type leases struct {
	vm     string
	lessee *balance.Lessee
	// keeper is set while this VM leases the service's slots to all.
	keeper *balance.Lessor
	// waiting holds the requests that asked for a slot, by the ask's number.
	waiting map[uint64]*waitEntry
	// post sends a message to a keeper, reply a reply to another VM.
	post  func(service, to string, message balance.LeaseMessage)
	reply func(service, to string, reply balance.LeaseReply)
}

// useLeases lets a service share slots with other VMs.
func (s *service) useLeases(vm string, post func(string, string, balance.LeaseMessage), reply func(string, string, balance.LeaseReply)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leases = &leases{
		vm: vm, lessee: balance.NewLessee(vm), waiting: make(map[uint64]*waitEntry), post: post, reply: reply,
	}
}

// setKeepers orders the candidates for keeper; the lock is held.
func (s *service) setKeepers(alive []subset.VM) {
	if s.leases == nil {
		return
	}
	var order []string
	for _, vm := range subset.Choose("keeper/"+s.name, alive, len(alive)) {
		order = append(order, vm.Name)
	}
	s.leases.lessee.Configure(order)
}

// chooses reports whether the VM chooses targets by itself now, and whether
// one more request may start.
func (s *service) chooses(now time.Time) (local, may bool) {
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

// ask requests a slot for a request that waits.
func (s *service) ask(entry *waitEntry, customer string, weight float64) {
	if s.leases == nil {
		return
	}
	w := entry.Item
	s.leases.waiting[w.id] = entry
	s.leases.lessee.Request(balance.SlotRequest{
		ID: w.id, Customer: customer, Weight: weight, Zone: s.zone, Idempotent: w.want.Idempotent,
		Exclude: s.unusable(w.want.Exclude), Deadline: w.deadline,
	})
}

// unusable adds the targets that this VM's judge keeps out to the exclusions.
func (s *service) unusable(exclude []string) []string {
	exclude = slices.Clone(exclude)
	s.judge.conditions(s.names, func(name string, condition balance.Condition) {
		if condition.Weight <= 0 {
			exclude = append(exclude, name)
		}
	})
	return exclude
}

// took reports a slot taken without asking.
func (s *service) took(id uint64, target string) {
	if s.leases != nil {
		delete(s.leases.waiting, id)
		s.leases.lessee.ReportTaken(id, target)
	}
}

// finished withdraws an ask or returns a slot.
func (s *service) finished(id uint64) {
	if s.leases != nil {
		delete(s.leases.waiting, id)
		s.leases.lessee.Finish(id)
	}
}

// learnSlots follows what an attempt's end tells about free slots.
func (s *service) learnSlots(now time.Time, target string, kind contract.AttemptKind) {
	switch kind {
	case contract.AttemptSucceeded:
		s.window.Succeeded(s.inFlight)
	case contract.AttemptShed:
		s.window.Shed(now, s.typical)
		if s.leases != nil {
			s.leases.lessee.ReportShed(target)
		}
	}
}

// flush sends what the lessee has to say; the lock is held.
func (s *service) flush(now time.Time) {
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
				s.handleLease(now, envelope.To, envelope.Message)
				continue
			}
			s.leases.post(s.name, envelope.To, envelope.Message)
		}
	}
}

// tickLeases does the periodic work of lessee and keeper; the lock is held.
func (s *service) tickLeases(now time.Time) {
	if s.leases == nil {
		return
	}
	s.leases.lessee.Tick(now)
	s.keep(now)
	if s.leases.keeper != nil {
		s.answer(now, "", balance.LeaseReply{}, s.leases.keeper.Expire(now))
	}
	s.flush(now)
}

// keep begins or ends this VM's part as keeper.
func (s *service) keep(now time.Time) {
	l := s.leases
	switch {
	case l.lessee.IsLessor() && l.keeper == nil:
		l.keeper = balance.NewLessor(now, s.rng)
		s.configureKeeper()
	case !l.lessee.IsLessor():
		l.keeper = nil
	}
}

// configureKeeper hands the targets and their conditions to the keeper.
func (s *service) configureKeeper() {
	if s.leases == nil || s.leases.keeper == nil {
		return
	}
	var targets []balance.Target
	for _, name := range s.names {
		t := s.targets[name]
		targets = append(targets, balance.Target{Name: name, Zone: t.definition.Zone, Slots: s.definition.Slots})
	}
	s.leases.keeper.Configure(targets)
}

// handleLease serves a VM's message as keeper, or declines.
func (s *service) handleLease(now time.Time, from string, message balance.LeaseMessage) {
	s.keep(now)
	keeper := s.leases.keeper
	if keeper == nil {
		s.leases.reply(s.name, from, balance.LeaseReply{Sequence: message.Sequence})
		return
	}
	grants, applied := keeper.HandleMessage(now, from, message)
	s.answer(now, from, balance.LeaseReply{Sequence: message.Sequence, Resync: !applied}, grants)
}

// answer sends grants, and the answer to the VM that sent a message, if any.
func (s *service) answer(now time.Time, from string, answer balance.LeaseReply, grants []balance.LeaseGrant) {
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
			reply = answer
		}
		keeper := s.leases.keeper
		reply.IsLessor, reply.Open, reply.BusyShare, reply.Token = true, keeper.Open(now), keeper.BusyShare(), keeper.Token(now)
		reply.Grants = byVM[vm]
		if vm == s.leases.vm {
			s.receiveLease(now, vm, reply)
			continue
		}
		s.leases.reply(s.name, vm, reply)
	}
}

// receiveLease hands granted slots to the requests that asked for them.
func (s *service) receiveLease(now time.Time, from string, reply balance.LeaseReply) {
	for _, grant := range s.leases.lessee.Receive(now, from, reply) {
		entry, ok := s.leases.waiting[grant.ID]
		if !ok {
			s.leases.lessee.Finish(grant.ID)
			continue
		}
		delete(s.leases.waiting, grant.ID)
		if !s.balancer.Accepts(grant.Target) {
			s.leases.lessee.Finish(grant.ID)
			s.reask(entry)
			continue
		}
		s.queue.Remove(entry)
		s.balancer.TakeNamed(grant.Target)
		s.start(now, entry, grant.Target)
	}
}

// reask asks anew for a request whose grant this VM cannot use.
func (s *service) reask(entry *waitEntry) {
	s.nextID++
	entry.Item.id = s.nextID
	customer, weight := entry.Owner()
	s.ask(entry, customer, weight)
}

// start passes a target to a waiting request.
func (s *service) start(now time.Time, entry *admission.Entry[*waiter], target string) {
	s.inFlight++
	s.drain.ItemLeft(now, s.queue.Len() > 0)
	entry.Item.granted <- target
}
