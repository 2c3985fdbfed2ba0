package freshness

import "time"

// State is what one VM knows of the age of its routes. It is not safe for concurrent use.
type State struct {
	bound time.Duration
	// version is the version in force, newest the highest version known to exist.
	version, newest uint64
	// confirmed is the latest moment at which version was the newest.
	confirmed moment
	// pending is the latest confirmation of a version newer than the one in force.
	pending        moment
	pendingVersion uint64
	// store is when the latest call was sent to which the store had nothing newer.
	store moment
	// compared is what this VM has done to learn of versions that the store has lost.
	compared comparison
}

// moment is an uptime; the zero value is none.
type moment struct {
	at    time.Duration
	known bool
}

// advance moves to a later moment; an earlier one changes nothing.
func (m *moment) advance(at time.Duration) {
	if !m.known || at > m.at {
		m.at, m.known = at, true
	}
}

// New returns the state of a VM that starts at an uptime without routes; bound is the
// greatest age of a confirmation.
func New(bound, now time.Duration) *State {
	return &State{bound: bound, compared: comparison{since: now}}
}

// Bound returns the greatest age of a confirmation.
func (s *State) Bound() time.Duration { return s.bound }

// Applied records that a version is in force.
func (s *State) Applied(version uint64) {
	if version <= s.version {
		return
	}
	s.version = version
	s.HeardOf(version)
	if s.pending.known && s.pendingVersion == version {
		s.confirm(s.pending.at)
	}
	if s.pendingVersion <= version {
		s.pending = moment{}
	}
}

// HeardOf records that a version exists.
func (s *State) HeardOf(version uint64) { s.newest = max(s.newest, version) }

// ConfirmedByStore records that a call to the store, sent at a moment, returned nothing newer
// than the version in force.
func (s *State) ConfirmedByStore(sent time.Duration) {
	s.store.advance(sent)
	if s.compared.done {
		s.confirm(sent)
	}
}

// Answer is what a peer says of its routes.
type Answer struct {
	// Version is in force at the peer.
	Version uint64
	// Confirmed is true when Age is set: an upper bound of the time since a moment at which
	// Version was the newest.
	Confirmed bool
	Age       time.Duration
}

// ConfirmedByPeer records a peer's answer to a call that was sent at a moment.
func (s *State) ConfirmedByPeer(peer string, answer Answer, sent time.Duration) {
	s.HeardOf(answer.Version)
	s.compareWith(peer, sent)
	if !answer.Confirmed || answer.Age < 0 {
		return
	}
	at := sent - answer.Age
	switch {
	case answer.Version == s.version:
		s.confirm(at)
	case answer.Version > s.version && answer.Version >= s.pendingVersion:
		if answer.Version > s.pendingVersion {
			s.pending, s.pendingVersion = moment{}, answer.Version
		}
		s.pending.advance(at)
	}
}

// confirm records that the version in force was the newest at a moment, unless a newer one
// is known to exist.
func (s *State) confirm(at time.Duration) {
	if s.version > 0 && s.newest <= s.version {
		s.confirmed.advance(at)
	}
}

// Age returns the time since the latest moment at which the version in force is known to
// have been the newest; ok is false when there is none.
func (s *State) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - s.confirmed.at, s.confirmed.known
}

// Current reports whether the version in force was the newest at a moment that is less than
// the bound ago.
func (s *State) Current(now time.Duration) bool {
	age, ok := s.Age(now)
	return ok && age < s.bound
}

// Version returns the version in force and the highest one known to exist.
func (s *State) Version() (inForce, newest uint64) { return s.version, s.newest }
