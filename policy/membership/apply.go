package membership

import (
	"time"
)

// apply applies a statement received from source. Direct is true when the
// source made the statement about itself.
func (s *State) apply(now time.Duration, m Member, source string, direct bool) {
	if !s.restoreOmitted(now, &m) {
		return
	}
	if err := validate(&m); err != nil {
		s.dropped++
		return
	}
	if m.VM == s.self.VM {
		s.applySelf(now, &m)
		return
	}
	r, ok := s.members[m.VM]
	if !ok {
		s.applyUnknown(now, m, source, direct)
		return
	}
	current := r.statementAt(now)
	newer := compareStatements(&m, &current)
	if newer <= 0 {
		s.adjustUptime(now, r, &m)
		if newer == 0 {
			s.markKnownBy(m.VM, source)
		}
		return
	}
	if s.challenge(now, r, m, source) {
		return
	}
	s.replace(now, r, m, source)
}

// adjustUptime keeps the earliest start time reported for a process. Network
// delays make an uptime look smaller, never greater.
func (s *State) adjustUptime(now time.Duration, r *record, m *Member) {
	if m.Instance == r.Instance {
		r.started = min(r.started, now-m.Uptime)
	}
}

// challenge defers a statement that a member is dead when this instance sees the
// member alive, so that the member can refute it before callers stop using it.
func (s *State) challenge(now time.Duration, r *record, m Member, source string) bool {
	if m.Status != Dead || r.Status != Alive || m.Incarnation != r.Incarnation || m.Instance != r.Instance {
		return false
	}
	if r.challengedUntil == 0 {
		r.challengedUntil = now + s.settings.ChallengeTimeout
		s.enqueue(m.VM, &m, true, false, source)
	}
	return true
}

// replace replaces a member's record by a newer statement.
func (s *State) replace(now time.Duration, r *record, m Member, source string) {
	old := r.Member
	s.digest ^= statementHash(&r.Member)
	started := now - m.Uptime
	if m.Instance == old.Instance {
		started = min(started, r.started)
	}
	r.started = started
	r.Member = m
	s.digest ^= statementHash(&r.Member)
	if m.Incarnation != old.Incarnation || m.Status != Alive {
		r.challengedUntil = 0
	}
	if m.Incarnation != old.Incarnation {
		r.unreachable = false
	}
	changed := m.Status != old.Status || m.Instance != old.Instance || m.Incarnation != old.Incarnation
	if !changed {
		s.enqueue(m.VM, nil, false, false, source)
		return
	}
	s.enqueue(m.VM, nil, true, m.Instance != old.Instance, source)
	if m.Instance != old.Instance {
		s.cancelProbe(m.VM)
		r.refutations, r.heldDownUntil = 0, 0
		s.emit(EventRestarted, m.VM, false)
	}
	s.handleStatusChange(now, r, old.Status)
}

// handleStatusChange applies the consequences of a record's new status.
func (s *State) handleStatusChange(now time.Duration, r *record, from Status) {
	switch r.Status {
	case Alive:
		if from == Suspect {
			s.countRefutation(now, r)
			s.emit(EventRefuted, r.VM, false)
		}
	case Suspect:
		r.suspectUntil = now + s.settings.SuspectTimeout
		s.emit(EventSuspected, r.VM, false)
	case Leaving:
		s.emit(EventLeaving, r.VM, false)
	case Dead:
		s.moveToTombstones(now, r)
	}
	s.version++
}

// countRefutation counts a refuted suspicion. From the second one on, the member
// is held down: left out of the directory's responses for a growing time.
func (s *State) countRefutation(now time.Duration, r *record) {
	if now-r.lastRefutation > s.settings.RefutationMemory {
		r.refutations = 0
	}
	r.refutations++
	r.lastRefutation = now
	if r.refutations < 2 || s.heldDownShare(now) >= s.settings.MaxHeldDownShare {
		return
	}
	holdDown := s.settings.HoldDown << min(r.refutations-2, 16)
	r.heldDownUntil = now + min(holdDown, s.settings.MaxHoldDown)
	s.emit(EventHeldDown, r.VM, false)
}

// heldDownShare returns the fraction of the members that are held down. A large
// fraction points to a fault common to all of them, and holding more of them
// down would only reduce capacity.
func (s *State) heldDownShare(now time.Duration) float64 {
	heldDown := 0
	for _, r := range s.members {
		if now < r.heldDownUntil {
			heldDown++
		}
	}
	return float64(heldDown) / float64(len(s.members))
}

// moveToTombstones replaces a member by a tombstone.
func (s *State) moveToTombstones(now time.Duration, r *record) {
	s.digest ^= statementHash(&r.Member)
	delete(s.members, r.VM)
	s.cancelProbe(r.VM)
	r.died = now
	if len(s.tombstones) >= s.settings.MaxMembers {
		s.removeOldestTombstone()
	}
	s.tombstones[r.VM] = r
	s.emit(EventDead, r.VM, false)
}

func (s *State) removeOldestTombstone() {
	var oldest *record
	for _, r := range s.tombstones {
		if oldest == nil || r.died < oldest.died || (r.died == oldest.died && r.VM < oldest.VM) {
			oldest = r
		}
	}
	delete(s.tombstones, oldest.VM)
	delete(s.queue, oldest.VM)
}

// applyUnknown handles a statement about a VM that is not a member in this view.
func (s *State) applyUnknown(now time.Duration, m Member, source string, direct bool) {
	tombstone, isDead := s.tombstones[m.VM]
	if isDead {
		current := tombstone.statementAt(now)
		if compareStatements(&m, &current) <= 0 {
			return
		}
	}
	if m.Status == Dead {
		if isDead {
			tombstone.Member = m
			tombstone.started = now - m.Uptime
		}
		return
	}
	if !s.admit(now, direct && !isDead) {
		s.dropped++
		s.emit(EventTableFull, m.VM, false)
		return
	}
	delete(s.tombstones, m.VM)
	r := &record{Member: m, started: now - m.Uptime, positions: s.ringPositions(m.VM)}
	if isDead {
		r.refutations, r.lastRefutation = tombstone.refutations, tombstone.lastRefutation
	}
	s.members[m.VM] = r
	s.digest ^= statementHash(&r.Member)
	s.enqueue(m.VM, nil, true, true, source)
	s.emit(EventJoined, m.VM, false)
	if m.Status == Suspect {
		r.suspectUntil = now + s.settings.SuspectTimeout
	}
}

// admit reports whether an unknown member may be added. When rateLimited is set,
// Settings.JoinsPerSecond applies.
func (s *State) admit(now time.Duration, rateLimited bool) bool {
	if len(s.members) >= s.settings.MaxMembers {
		return false
	}
	if !rateLimited {
		return true
	}
	rate := float64(s.settings.JoinsPerSecond)
	s.joinTokens = min(rate, s.joinTokens+rate*(now-s.joinTokensAt).Seconds())
	s.joinTokensAt = now
	if s.joinTokens < 1 {
		return false
	}
	s.joinTokens--
	return true
}

// applySelf handles a statement about this instance's VM.
func (s *State) applySelf(now time.Duration, m *Member) {
	if m.Instance != s.self.Instance {
		s.applyOtherProcess(now, m)
		return
	}
	suspectOrDead := m.Status == Suspect || m.Status == Dead
	if m.Incarnation > s.self.Incarnation || (m.Incarnation == s.self.Incarnation && suspectOrDead && s.self.Status != Dead) {
		s.raiseIncarnation(m.Incarnation + 1)
		s.emit(EventSelfRefuted, s.self.VM, false)
	}
}

// applyOtherProcess handles a statement about another process of this VM.
func (s *State) applyOtherProcess(now time.Duration, m *Member) {
	if m.Uptime < now-s.self.started && m.Status != Dead {
		if !s.superseded {
			s.superseded = true
			s.emit(EventSuperseded, s.self.VM, false)
		}
		return
	}
	if m.Incarnation >= s.self.Incarnation && !s.superseded {
		s.raiseIncarnation(m.Incarnation + 1)
	}
}

// raiseIncarnation gives this instance a new incarnation and announces it.
func (s *State) raiseIncarnation(incarnation uint64) {
	s.digest ^= statementHash(&s.self.Member)
	s.self.Incarnation = incarnation
	s.digest ^= statementHash(&s.self.Member)
	s.enqueue(s.self.VM, nil, true, false, "")
	s.version++
}
