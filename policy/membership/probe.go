package membership

import (
	"slices"
	"time"
)

// edge is a member that this instance probes.
type edge struct {
	vm   string
	next time.Duration
	// attempt is nil between probes.
	attempt *attempt
}

// attempt is one probe with its repetitions.
type attempt struct {
	id        uint64
	round     int
	nextRound time.Duration
	// disturbed is set when this process ran late during the probe, so that
	// its silence says nothing about the member.
	disturbed bool
	// relays are asked in the later rounds; chosen anew halfway.
	relays []*record
}

const (
	// lateTick is the time between two ticks from which this process counts as late.
	lateTick = 150 * time.Millisecond
	// overlayInterval is the least time between two choices of the overlay.
	overlayInterval = 500 * time.Millisecond
	// pushInterval is the least time between two pushes.
	pushInterval = 100 * time.Millisecond
	// startupGrace is the uptime before which this process convicts nobody.
	startupGrace = 5 * time.Second
)

// Tick advances the state to now and returns what is to be done. Calls are
// expected at least every few tens of milliseconds.
func (s *State) Tick(now time.Duration) []Action {
	s.noticeLateness(now)
	s.dropPassedOn(now)
	s.expire(now)
	s.chooseOverlay(now)
	actions := s.probe(now)
	actions = append(actions, s.push(now)...)
	return append(actions, s.rejoin(now)...)
}

// noticeLateness voids the probes in progress while this process starts and
// when it was starved.
func (s *State) noticeLateness(now time.Duration) {
	late := now-s.lastTick >= lateTick || now-s.self.started < startupGrace
	s.lastTick = now
	if !late {
		return
	}
	for _, e := range s.edges {
		if e.attempt != nil {
			e.attempt.disturbed = true
		}
	}
}

// chooseOverlay selects the members to probe and to push to.
func (s *State) chooseOverlay(now time.Duration) {
	if s.overlayVersion == s.version || now < s.nextOverlay {
		return
	}
	s.overlayVersion = s.version
	s.nextOverlay = now + overlayInterval
	wanted := make(map[string]bool)
	for ring := range s.settings.Rings {
		s.successors(ring, wanted)
	}
	for vm, e := range s.edges {
		if !wanted[vm] {
			s.dropAttempt(vm)
			delete(s.edges, e.vm)
		}
	}
	s.neighbors = s.neighbors[:0]
	for _, vm := range sortedKeys(wanted) {
		s.neighbors = append(s.neighbors, vm)
		if s.edges[vm] == nil {
			offset := time.Duration(s.random.Int64N(int64(s.settings.ProbeInterval)))
			s.edges[vm] = &edge{vm: vm, next: now + offset}
		}
	}
	for ring := range s.settings.Rings {
		if vm := s.nearest(ring, wanted, true); vm != "" {
			wanted[vm] = true
			s.neighbors = append(s.neighbors, vm)
		}
	}
}

// successors adds the next member on a ring, and while that one is not alive
// the next alive one too.
func (s *State) successors(ring int, wanted map[string]bool) {
	for range 3 {
		vm := s.nearest(ring, wanted, false)
		if vm == "" {
			return
		}
		wanted[vm] = true
		if s.members[vm].Status == Alive && !s.members[vm].unreachable {
			return
		}
	}
}

// nearest returns the member closest to this one on a ring that is not in
// taken, clockwise or counter-clockwise; empty when there is none.
func (s *State) nearest(ring int, taken map[string]bool, backward bool) string {
	var best string
	var bestDistance uint64
	for vm, r := range s.members {
		if taken[vm] {
			continue
		}
		distance := r.positions[ring] - s.self.positions[ring]
		if backward {
			distance = -distance
		}
		if best == "" || distance < bestDistance || (distance == bestDistance && vm < best) {
			best, bestDistance = vm, distance
		}
	}
	return best
}

func (s *State) probe(now time.Duration) []Action {
	var actions []Action
	for _, vm := range sortedKeys(s.edges) {
		e := s.edges[vm]
		r, ok := s.members[vm]
		if !ok {
			continue
		}
		switch {
		case e.attempt == nil && now >= e.next:
			actions = append(actions, s.begin(now, e, r))
		case e.attempt != nil && now >= e.attempt.nextRound:
			actions = append(actions, s.repeat(now, e, r)...)
		}
	}
	return actions
}

func (s *State) begin(now time.Duration, e *edge, r *record) Action {
	s.nextProbe++
	e.attempt = &attempt{id: s.nextProbe, nextRound: now + s.settings.ProbeTimeout}
	e.next += s.settings.ProbeInterval
	if e.next < now {
		e.next = now + s.settings.ProbeInterval
	}
	s.byProbe[s.nextProbe] = e
	return s.ping(now, e.attempt.id, r, false)
}

func (s *State) ping(now time.Duration, id uint64, r *record, fresh bool) Action {
	return Action{Kind: ActionPing, Probe: id, To: r.at(now), NewConnection: fresh,
		Timeout: s.settings.ProbeTimeout, Message: s.message(now, r.VM)}
}

// repeat starts the next round of a probe, or ends the probe without success.
// A disturbed probe will decide nothing, so it costs no relays and no new
// connections.
func (s *State) repeat(now time.Duration, e *edge, r *record) []Action {
	a := e.attempt
	if a.round >= s.settings.RetryRounds {
		s.dropAttempt(e.vm)
		if a.disturbed {
			e.next = now
			return nil
		}
		s.failed(now, r)
		return nil
	}
	a.round++
	a.nextRound = now + s.settings.RoundInterval
	if a.round == s.settings.RetryRounds {
		a.nextRound = now + s.settings.ProbeTimeout
	}
	if a.disturbed {
		return []Action{s.ping(now, a.id, r, false)}
	}
	actions := []Action{s.ping(now, a.id, r, true)}
	if a.round == 2 || a.round == 2+s.settings.RetryRounds/2 {
		a.relays = s.relays(e.vm)
	}
	for _, relay := range a.relays {
		actions = append(actions, Action{Kind: ActionPingIndirect, Probe: a.id, To: relay.at(now),
			Target: r.at(now), Timeout: s.settings.ProbeTimeout, Message: Message{From: s.Self(now)}})
	}
	return actions
}

// relays picks neighbors, or any members when there are few neighbors.
func (s *State) relays(target string) []*record {
	var candidates []*record
	for _, vm := range s.neighbors {
		if r, ok := s.members[vm]; ok && vm != target && r.Status == Alive && !r.unreachable {
			candidates = append(candidates, r)
		}
	}
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), s.settings.Relays)]
}

// failed draws the conclusion from a probe of which no round got through.
func (s *State) failed(now time.Duration, r *record) {
	if s.Isolated(now) {
		if !r.unreachable {
			r.unreachable = true
			s.emit(EventUnreachable, r.VM, true)
		}
		return
	}
	switch r.Status {
	case Alive:
		s.transition(now, r, Suspect, true)
	case Leaving:
		s.transition(now, r, Dead, true)
	}
}

// transition changes a member's status by this instance's own conclusion.
func (s *State) transition(now time.Duration, r *record, to Status, raised bool) {
	s.digest ^= summary(&r.Member)
	r.Status = to
	s.digest ^= summary(&r.Member)
	s.enqueue(r.VM, nil, true, false, "")
	if to == Dead {
		s.bury(now, r)
		return
	}
	r.suspectUntil = now + s.settings.SuspectTimeout
	r.challengedUntil = 0
	s.emit(EventSuspected, r.VM, raised)
}

func (s *State) dropAttempt(vm string) {
	e, ok := s.edges[vm]
	if !ok || e.attempt == nil {
		return
	}
	delete(s.byProbe, e.attempt.id)
	e.attempt = nil
}

// expire ends suspicions, challenges, hold-downs, tombstones and revalidation.
func (s *State) expire(now time.Duration) {
	var due []string
	for vm, r := range s.members {
		if r.due(now) {
			due = append(due, vm)
		}
	}
	slices.Sort(due)
	for _, vm := range due {
		s.expireMember(now, s.members[vm])
	}
	for vm, r := range s.graves {
		if now-r.died > s.settings.TombstoneMemory {
			delete(s.graves, vm)
			delete(s.queue, vm)
		}
	}
	if s.revalidating && (now >= s.revalidateEnd || len(s.members) == 0) {
		s.revalidating = false
	}
}

// due tells whether a time limit of the member has passed.
func (r *record) due(now time.Duration) bool {
	return (r.heldUntil > 0 && now >= r.heldUntil) ||
		(r.Status == Suspect && now >= r.suspectUntil) ||
		(r.challengedUntil > 0 && now >= r.challengedUntil)
}

func (s *State) expireMember(now time.Duration, r *record) {
	if r.heldUntil > 0 && now >= r.heldUntil {
		r.heldUntil = 0
		s.version++
	}
	switch {
	case r.Status == Suspect && now >= r.suspectUntil && !s.Isolated(now):
		s.transition(now, r, Dead, true)
	case r.challengedUntil > 0 && now >= r.challengedUntil:
		s.transition(now, r, Suspect, false)
	}
}
