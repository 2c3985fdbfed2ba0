package membership

import (
	"time"
)

// apply takes over a statement heard from source. Direct is true for what the
// source says about itself.
func (s *State) apply(now time.Duration, m Member, source string, direct bool) {
	if !s.complete(now, &m) {
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
	current := r.at(now)
	newer := order(&m, &current)
	if newer <= 0 {
		s.adjustUptime(now, r, &m)
		if newer == 0 {
			s.noteKnown(m.VM, source)
		}
		return
	}
	if s.challenge(now, r, m, source) {
		return
	}
	s.replace(now, r, m, source)
}

// adjustUptime keeps the earliest start of a process that was heard of; delays
// on the way make an uptime look smaller, never greater.
func (s *State) adjustUptime(now time.Duration, r *record, m *Member) {
	if m.Instance == r.Instance {
		r.started = min(r.started, now-m.Uptime)
	}
}

// challenge defers a statement of death about a member seen alive here, so that
// the member can refute it before it loses its callers.
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

// replace lets a newer statement take the place of a member's record.
func (s *State) replace(now time.Duration, r *record, m Member, source string) {
	old := r.Member
	s.digest ^= summary(&r.Member)
	started := now - m.Uptime
	if m.Instance == old.Instance {
		started = min(started, r.started)
	}
	r.started = started
	r.Member = m
	s.digest ^= summary(&r.Member)
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
		s.dropAttempt(m.VM)
		r.strikes, r.heldUntil = 0, 0
		s.emit(EventRestarted, m.VM, false)
	}
	s.enter(now, r, old.Status)
}

// enter does what belongs to the status that a record has taken.
func (s *State) enter(now time.Duration, r *record, from Status) {
	switch r.Status {
	case Alive:
		if from == Suspect {
			s.strike(now, r)
			s.emit(EventRefuted, r.VM, false)
		}
	case Suspect:
		r.suspectUntil = now + s.settings.SuspectTimeout
		s.emit(EventSuspected, r.VM, false)
	case Leaving:
		s.emit(EventLeaving, r.VM, false)
	case Dead:
		s.bury(now, r)
	}
	s.version++
}

// strike counts a refuted suspicion. From the second on, the member is held out
// of the answers for a growing time.
func (s *State) strike(now time.Duration, r *record) {
	if now-r.lastStrike > s.settings.RefutationMemory {
		r.strikes = 0
	}
	r.strikes++
	r.lastStrike = now
	if r.strikes < 2 || s.heldShare(now) >= s.settings.MaxHeldDownShare {
		return
	}
	hold := s.settings.HoldDown << min(r.strikes-2, 16)
	r.heldUntil = now + min(hold, s.settings.MaxHoldDown)
	s.emit(EventHeldDown, r.VM, false)
}

// heldShare returns the part of the members that are held down. When it is
// large the trouble is common to all, and holding more of them down would only
// take away capacity.
func (s *State) heldShare(now time.Duration) float64 {
	held := 0
	for _, r := range s.members {
		if now < r.heldUntil {
			held++
		}
	}
	return float64(held) / float64(len(s.members))
}

// bury turns a member into a tombstone.
func (s *State) bury(now time.Duration, r *record) {
	s.digest ^= summary(&r.Member)
	delete(s.members, r.VM)
	s.dropAttempt(r.VM)
	r.died = now
	if len(s.graves) >= s.settings.MaxMembers {
		s.forgetOldest()
	}
	s.graves[r.VM] = r
	s.emit(EventDead, r.VM, false)
}

func (s *State) forgetOldest() {
	var oldest *record
	for _, r := range s.graves {
		if oldest == nil || r.died < oldest.died || (r.died == oldest.died && r.VM < oldest.VM) {
			oldest = r
		}
	}
	delete(s.graves, oldest.VM)
	delete(s.queue, oldest.VM)
}

// applyUnknown handles a statement about a VM that is not a member here.
func (s *State) applyUnknown(now time.Duration, m Member, source string, direct bool) {
	grave, buried := s.graves[m.VM]
	if buried {
		current := grave.at(now)
		if order(&m, &current) <= 0 {
			return
		}
	}
	if m.Status == Dead {
		if buried {
			grave.Member = m
			grave.started = now - m.Uptime
		}
		return
	}
	if !s.admit(now, direct && !buried) {
		s.dropped++
		s.emit(EventTableFull, m.VM, false)
		return
	}
	delete(s.graves, m.VM)
	r := &record{Member: m, started: now - m.Uptime, positions: s.place(m.VM)}
	if buried {
		r.strikes, r.lastStrike = grave.strikes, grave.lastStrike
	}
	s.members[m.VM] = r
	s.digest ^= summary(&r.Member)
	s.enqueue(m.VM, nil, true, true, source)
	s.emit(EventJoined, m.VM, false)
	if m.Status == Suspect {
		r.suspectUntil = now + s.settings.SuspectTimeout
	}
}

// admit tells whether an unknown member may be added.
func (s *State) admit(now time.Duration, limited bool) bool {
	if len(s.members) >= s.settings.MaxMembers {
		return false
	}
	if !limited {
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

// applySelf answers a statement about this instance's VM.
func (s *State) applySelf(now time.Duration, m *Member) {
	if m.Instance != s.self.Instance {
		s.applyRival(now, m)
		return
	}
	against := m.Status == Suspect || m.Status == Dead
	if m.Incarnation > s.self.Incarnation || (m.Incarnation == s.self.Incarnation && against && s.self.Status != Dead) {
		s.raise(m.Incarnation + 1)
		s.emit(EventSelfRefuted, s.self.VM, false)
	}
}

// applyRival handles a statement about another process of this VM.
func (s *State) applyRival(now time.Duration, m *Member) {
	if m.Uptime < now-s.self.started && m.Status != Dead {
		if !s.superseded {
			s.superseded = true
			s.emit(EventSuperseded, s.self.VM, false)
		}
		return
	}
	if m.Incarnation >= s.self.Incarnation && !s.superseded {
		s.raise(m.Incarnation + 1)
	}
}

// raise gives this instance a new incarnation and announces it.
func (s *State) raise(incarnation uint64) {
	s.digest ^= summary(&s.self.Member)
	s.self.Incarnation = incarnation
	s.digest ^= summary(&s.self.Member)
	s.enqueue(s.self.VM, nil, true, false, "")
	s.version++
}
