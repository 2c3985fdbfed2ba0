package membership

import (
	"slices"
	"time"
)

// edge is a member that this instance probes.
type edge struct {
	vm   string
	next time.Duration
	// pending is nil between probes.
	pending *pendingProbe
}

// pendingProbe is a probe in progress, with its retries.
type pendingProbe struct {
	id        uint64
	round     int
	nextRound time.Duration
	// inconclusive is set when this process ran late during the probe, so that a
	// missing response is no evidence against the member.
	inconclusive bool
	// relays send indirect pings from round 2 on; chosen again halfway.
	relays []*record
}

const (
	// lateTickThreshold is the time between two ticks at which this process counts as late.
	lateTickThreshold = 150 * time.Millisecond
	// overlayInterval is the minimum time between two choices of the overlay.
	overlayInterval = 500 * time.Millisecond
	// pushInterval is the minimum time between two pushes.
	pushInterval = 100 * time.Millisecond
	// startupGrace is the uptime before which this process raises no suspicion.
	startupGrace = 5 * time.Second
)

// Tick advances the state to now and returns the actions to perform. It must be
// called at least every few tens of milliseconds.
func (s *State) Tick(now time.Duration) []Action {
	s.markProbesInconclusiveWhenLate(now)
	s.removeExpiredStatements(now)
	s.expire(now)
	s.chooseOverlay(now)
	actions := s.probe(now)
	actions = append(actions, s.push(now)...)
	return append(actions, s.rejoin(now)...)
}

// markProbesInconclusiveWhenLate marks the probes in progress inconclusive while
// this process starts, and when it was not scheduled in time.
func (s *State) markProbesInconclusiveWhenLate(now time.Duration) {
	late := now-s.lastTick >= lateTickThreshold || now-s.self.started < startupGrace
	s.lastTick = now
	if !late {
		return
	}
	for _, e := range s.edges {
		if e.pending != nil {
			e.pending.inconclusive = true
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
			s.cancelProbe(vm)
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

// successors adds the next member on a ring; when that one is not alive and
// reachable it adds the following ones too, up to three in all.
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

// nearest returns the closest member on a ring that is not excluded: clockwise,
// or counter-clockwise when backward is set. It is empty when there is none.
func (s *State) nearest(ring int, excluded map[string]bool, backward bool) string {
	var best string
	var bestDistance uint64
	for vm, r := range s.members {
		if excluded[vm] {
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
		case e.pending == nil && now >= e.next:
			actions = append(actions, s.startProbe(now, e, r))
		case e.pending != nil && now >= e.pending.nextRound:
			actions = append(actions, s.retryProbe(now, e, r)...)
		}
	}
	return actions
}

func (s *State) startProbe(now time.Duration, e *edge, r *record) Action {
	s.nextProbe++
	e.pending = &pendingProbe{id: s.nextProbe, nextRound: now + s.settings.ProbeTimeout}
	e.next += s.settings.ProbeInterval
	if e.next < now {
		e.next = now + s.settings.ProbeInterval
	}
	s.byProbe[s.nextProbe] = e
	return s.ping(now, e.pending.id, r, false)
}

func (s *State) ping(now time.Duration, id uint64, r *record, newConnection bool) Action {
	return Action{Kind: ActionPing, Probe: id, To: r.statementAt(now), NewConnection: newConnection,
		Timeout: s.settings.ProbeTimeout, Message: s.message(now, r.VM)}
}

// retryProbe starts the next round of a probe, or ends the probe as failed. The
// rounds of an inconclusive probe use no relays and no new connections, since
// its failure has no consequence.
func (s *State) retryProbe(now time.Duration, e *edge, r *record) []Action {
	p := e.pending
	if p.round >= s.settings.RetryRounds {
		s.cancelProbe(e.vm)
		if p.inconclusive {
			e.next = now
			return nil
		}
		s.handleProbeFailure(now, r)
		return nil
	}
	p.round++
	p.nextRound = now + s.settings.RoundInterval
	if p.round == s.settings.RetryRounds {
		p.nextRound = now + s.settings.ProbeTimeout
	}
	if p.inconclusive {
		return []Action{s.ping(now, p.id, r, false)}
	}
	actions := []Action{s.ping(now, p.id, r, true)}
	if p.round == 2 || p.round == 2+s.settings.RetryRounds/2 {
		p.relays = s.relays(e.vm)
	}
	for _, relay := range p.relays {
		actions = append(actions, Action{Kind: ActionPingIndirect, Probe: p.id, To: relay.statementAt(now),
			Target: r.statementAt(now), Timeout: s.settings.ProbeTimeout, Message: Message{From: s.Self(now)}})
	}
	return actions
}

// relays picks random neighbors that are alive, up to Settings.Relays.
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

// handleProbeFailure applies the consequence of a probe whose rounds all failed.
func (s *State) handleProbeFailure(now time.Duration, r *record) {
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

// transition changes a member's status by this instance's own decision.
func (s *State) transition(now time.Duration, r *record, to Status, raised bool) {
	s.digest ^= statementHash(&r.Member)
	r.Status = to
	s.digest ^= statementHash(&r.Member)
	s.enqueue(r.VM, nil, true, false, "")
	if to == Dead {
		s.moveToTombstones(now, r)
		return
	}
	r.suspectUntil = now + s.settings.SuspectTimeout
	r.challengedUntil = 0
	s.emit(EventSuspected, r.VM, raised)
}

func (s *State) cancelProbe(vm string) {
	e, ok := s.edges[vm]
	if !ok || e.pending == nil {
		return
	}
	delete(s.byProbe, e.pending.id)
	e.pending = nil
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
	for vm, r := range s.tombstones {
		if now-r.died > s.settings.TombstoneMemory {
			delete(s.tombstones, vm)
			delete(s.queue, vm)
		}
	}
	if s.revalidating && (now >= s.revalidateEnd || len(s.members) == 0) {
		s.revalidating = false
	}
}

// due reports whether a time limit of the member has passed.
func (r *record) due(now time.Duration) bool {
	return (r.heldDownUntil > 0 && now >= r.heldDownUntil) ||
		(r.Status == Suspect && now >= r.suspectUntil) ||
		(r.challengedUntil > 0 && now >= r.challengedUntil)
}

func (s *State) expireMember(now time.Duration, r *record) {
	if r.heldDownUntil > 0 && now >= r.heldDownUntil {
		r.heldDownUntil = 0
		s.version++
	}
	switch {
	case r.Status == Suspect && now >= r.suspectUntil && !s.Isolated(now):
		s.transition(now, r, Dead, true)
	case r.challengedUntil > 0 && now >= r.challengedUntil:
		s.transition(now, r, Suspect, false)
	}
}
