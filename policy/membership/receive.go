package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// mismatchesBeforeSync is the number of consecutive responses with a different
// digest after which the instance exchanges lists with a neighbor.
const mismatchesBeforeSync = 3

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// HandlePing handles a ping and returns the response to it. A ping meant for
// another VM is an error.
func (s *State) HandlePing(now time.Duration, toVM string, m Message) (Message, error) {
	if toVM != s.self.VM {
		return Message{}, fmt.Errorf("ping from %.80s for vm %.80s arrived at %s", m.From.VM, toVM, s.self.VM)
	}
	s.applyMessage(now, m)
	response := s.message(now, m.From.VM)
	return s.addCorrection(now, response, m.From), nil
}

// RelayMessage returns the content of a ping on another instance's behalf.
func (s *State) RelayMessage(now time.Duration, target string) Message {
	return s.message(now, target)
}

// addCorrection adds this instance's statement about the sender's VM when it is
// alive in this view, and its incarnation is newer than the sender's or it
// describes another process.
func (s *State) addCorrection(now time.Duration, response Message, from Member) Message {
	r, ok := s.lookupRecord(from.VM)
	if !ok {
		return response
	}
	statement := r.statementAt(now)
	if r.Status == Alive && (statement.Instance != from.Instance || statement.Incarnation > from.Incarnation) {
		response.Updates = append(response.Updates, statement)
	}
	return response
}

func (s *State) applyMessage(now time.Duration, m Message) {
	s.apply(now, m.From, m.From.VM, true)
	s.applyUpdates(now, m.Updates, m.From.VM, 2*s.settings.MaxUpdates)
}

// applyUpdates applies a sender's statements about other members. A sender that
// is suspect or dead in this view may be able to send but not to receive, so it
// would spread suspicions without learning that they were refuted. Its statements
// that a member is suspect or dead are ignored, except about this instance,
// which can refute them.
func (s *State) applyUpdates(now time.Duration, updates []Member, from string, limit int) {
	r, known := s.lookupRecord(from)
	trusted := !known || r.Status == Alive || r.Status == Leaving
	for _, update := range updates[:min(len(updates), limit)] {
		suspectOrDead := update.Status == Suspect || update.Status == Dead
		if trusted || !suspectOrDead || update.VM == s.self.VM {
			s.apply(now, update, from, false)
		}
	}
}

// HandlePingResult handles the result of a ping or an indirect ping.
func (s *State) HandlePingResult(now time.Duration, result Result) {
	if result.AnyResponse {
		s.markContact(now)
	}
	e, current := s.byProbe[result.Probe]
	if result.Response != nil {
		s.applyMessage(now, *result.Response)
		s.compareDigest(result.Response.Digest)
	}
	if !current || e.pending == nil || e.pending.id != result.Probe {
		return
	}
	if result.Reached {
		s.handleProbeSuccess(e.vm)
		return
	}
	if e.pending.round == 0 {
		e.pending.nextRound = now
	}
}

// handleProbeSuccess ends a probe that reached its member.
func (s *State) handleProbeSuccess(vm string) {
	s.cancelProbe(vm)
	r, ok := s.members[vm]
	if ok && r.unreachable {
		r.unreachable = false
		s.version++
	}
}

// markContact records that another instance responded. Members marked
// unreachable while this instance was isolated are considered reachable again, and
// suspicions and challenges can be refuted for longer: no refutation could arrive meanwhile.
func (s *State) markContact(now time.Duration) {
	if s.Isolated(now) {
		s.clearUnreachable()
		s.extendTimeouts(now - s.lastContact)
	}
	s.lastContact = now
	s.revalidating = false
}

// extendTimeouts extends the time limits of suspicions and challenges.
func (s *State) extendTimeouts(length time.Duration) {
	for _, r := range s.members {
		if r.Status == Suspect {
			r.suspectUntil += length
		}
		if r.challengedUntil > 0 {
			r.challengedUntil += length
		}
	}
}

func (s *State) clearUnreachable() {
	for _, r := range s.members {
		r.unreachable = false
	}
	s.version++
}

func (s *State) compareDigest(digest uint64) {
	if digest == s.digest {
		s.mismatches = 0
		return
	}
	s.mismatches++
}

// HandleJoin handles a join request with the sender's list and returns this
// instance's list.
func (s *State) HandleJoin(now time.Duration, from Member, members []Member) []Member {
	s.apply(now, from, from.VM, true)
	s.applyUpdates(now, members, from.VM, 2*s.settings.MaxMembers)
	return s.Statements(now)
}

// HandleJoinResponse handles the response to a join.
func (s *State) HandleJoinResponse(now time.Duration, from string, members []Member) {
	s.markContact(now)
	limit := 2 * s.settings.MaxMembers
	for _, m := range members[:min(len(members), limit)] {
		s.apply(now, m, from, false)
	}
}

// Statements returns the statements about all members, tombstones included.
func (s *State) Statements(now time.Duration) []Member {
	list := make([]Member, 0, 1+len(s.members)+len(s.tombstones))
	list = append(list, s.Self(now))
	for _, vm := range sortedKeys(s.members) {
		list = append(list, s.members[vm].statementAt(now))
	}
	for _, vm := range sortedKeys(s.tombstones) {
		list = append(list, s.tombstones[vm].statementAt(now))
	}
	return list
}

// HandlePause handles a pause of the given length in which the process did not
// run. Probes in progress are canceled, and the time limits of suspicions and
// challenges are extended by the length of the pause.
func (s *State) HandlePause(now, length time.Duration) {
	for _, e := range s.edges {
		s.cancelProbe(e.vm)
	}
	s.extendTimeouts(length)
	for _, e := range s.edges {
		e.next = now
	}
	s.lastTick = now
	s.lastContact = max(s.lastContact, now-s.settings.IsolatedAfter/2)
	s.revalidating = len(s.members) > 0
	s.revalidateEnd = now + s.settings.IsolatedAfter
	s.nextRejoin = now
}

// Leave announces a planned stop. The instance continues to serve.
func (s *State) Leave() { s.announceStatus(Leaving) }

// Depart announces that the instance is gone.
func (s *State) Depart() { s.announceStatus(Dead) }

func (s *State) announceStatus(status Status) {
	if s.self.Status == status {
		return
	}
	s.digest ^= statementHash(&s.self.Member)
	s.self.Status = status
	s.digest ^= statementHash(&s.self.Member)
	s.raiseIncarnation(s.self.Incarnation + 1)
}

// SetConfiguration sets the state of the configuration that this instance
// announces to the others.
func (s *State) SetConfiguration(generation uint64, problem string, rejected uint32) {
	if len(problem) > maxProblemBytes {
		problem = problem[:maxProblemBytes]
	}
	if s.self.Generation == generation && s.self.ConfigProblem == problem && s.self.RejectedCount == rejected {
		return
	}
	s.self.Generation, s.self.ConfigProblem, s.self.RejectedCount = generation, problem, rejected
	s.self.Refresh++
	s.enqueue(s.self.VM, nil, false, false, "")
	s.version++
}
