package membership

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// mismatchesBeforeSync is the number of answers in a row with another digest
// after which two instances exchange their lists.
const mismatchesBeforeSync = 3

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// HandlePing handles a ping and returns the answer to it. A ping meant for
// another VM is an error.
func (s *State) HandlePing(now time.Duration, toVM string, m Message) (Message, error) {
	if toVM != s.self.VM {
		return Message{}, fmt.Errorf("ping from %.80s for vm %.80s arrived at %s", m.From.VM, toVM, s.self.VM)
	}
	s.hear(now, m)
	answer := s.message(now, m.From.VM)
	return s.correct(now, answer, m.From), nil
}

// RelayMessage returns what a ping on another instance's behalf carries.
func (s *State) RelayMessage(now time.Duration, target string) Message {
	return s.message(now, target)
}

// correct adds the statement held here about the sender, when the sender's own
// does not stand against it.
func (s *State) correct(now time.Duration, answer Message, from Member) Message {
	r, ok := s.known(from.VM)
	if !ok {
		return answer
	}
	held := r.at(now)
	if r.Status == Alive && (held.Instance != from.Instance || held.Incarnation > from.Incarnation) {
		answer.Updates = append(answer.Updates, held)
	}
	return answer
}

func (s *State) hear(now time.Duration, m Message) {
	s.apply(now, m.From, m.From.VM, true)
	s.takeUpdates(now, m.Updates, m.From.VM, 2*s.settings.MaxUpdates)
}

// takeUpdates applies what a member that sent a message unasked says of others.
// A sender that is not alive here may be heard without hearing, so that it would
// spread suspicions without learning that they were refuted; what it says
// against others is left out, apart from this instance itself, which refutes.
func (s *State) takeUpdates(now time.Duration, updates []Member, from string, limit int) {
	r, known := s.known(from)
	trusted := !known || r.Status == Alive || r.Status == Leaving
	for _, update := range updates[:min(len(updates), limit)] {
		against := update.Status == Suspect || update.Status == Dead
		if trusted || !against || update.VM == s.self.VM {
			s.apply(now, update, from, false)
		}
	}
}

// HandlePingResult handles the end of a ping or an indirect ping.
func (s *State) HandlePingResult(now time.Duration, result Result) {
	if result.AnyResponse {
		s.contact(now)
	}
	e, current := s.byProbe[result.Probe]
	if result.Response != nil {
		s.hear(now, *result.Response)
		s.compare(result.Response.Digest)
	}
	if !current || e.attempt == nil || e.attempt.id != result.Probe {
		return
	}
	if result.Reached {
		s.reached(e.vm)
		return
	}
	if e.attempt.round == 0 {
		e.attempt.nextRound = now
	}
}

// reached ends a probe with success.
func (s *State) reached(vm string) {
	s.dropAttempt(vm)
	r, ok := s.members[vm]
	if ok && r.unreachable {
		r.unreachable = false
		s.version++
	}
}

// contact notes that another instance answered. What could not be reached while
// the instance was cut off is to be judged anew.
func (s *State) contact(now time.Duration) {
	if s.Isolated(now) {
		s.clearUnreachable()
	}
	s.lastContact = now
	s.revalidating = false
}

func (s *State) clearUnreachable() {
	for _, r := range s.members {
		r.unreachable = false
	}
	s.version++
}

func (s *State) compare(digest uint64) {
	if digest == s.digest {
		s.mismatches = 0
		return
	}
	s.mismatches++
}

// HandleJoin handles an instance that introduces itself with its list, and
// returns the list held here.
func (s *State) HandleJoin(now time.Duration, from Member, members []Member) []Member {
	s.apply(now, from, from.VM, true)
	s.takeUpdates(now, members, from.VM, 2*s.settings.MaxMembers)
	return s.Statements(now)
}

// HandleJoinResponse handles the answer to a join.
func (s *State) HandleJoinResponse(now time.Duration, from string, members []Member) {
	s.contact(now)
	limit := 2 * s.settings.MaxMembers
	for _, m := range members[:min(len(members), limit)] {
		s.apply(now, m, from, false)
	}
}

// Statements returns all statements held here, tombstones included.
func (s *State) Statements(now time.Duration) []Member {
	list := make([]Member, 0, 1+len(s.members)+len(s.graves))
	list = append(list, s.Self(now))
	for _, vm := range sortedKeys(s.members) {
		list = append(list, s.members[vm].at(now))
	}
	for _, vm := range sortedKeys(s.graves) {
		list = append(list, s.graves[vm].at(now))
	}
	return list
}

// HandlePause tells that the process did not run for the given time. Probes in
// progress say nothing, and suspicions get their time again.
func (s *State) HandlePause(now, length time.Duration) {
	for _, e := range s.edges {
		s.dropAttempt(e.vm)
	}
	for _, r := range s.members {
		if r.Status == Suspect {
			r.suspectUntil += length
		}
		if r.challengedUntil > 0 {
			r.challengedUntil += length
		}
	}
	for _, e := range s.edges {
		e.next = now
	}
	s.lastTick = now
	s.lastContact = max(s.lastContact, now-s.settings.IsolatedAfter/2)
	s.revalidating = len(s.members) > 0
	s.revalidateEnd = now + s.settings.IsolatedAfter
	s.nextRejoin = now
}

// Leave announces a planned stop. The instance goes on serving.
func (s *State) Leave() { s.declare(Leaving) }

// Depart announces that the instance is gone.
func (s *State) Depart() { s.declare(Dead) }

func (s *State) declare(status Status) {
	if s.self.Status == status {
		return
	}
	s.digest ^= summary(&s.self.Member)
	s.self.Status = status
	s.digest ^= summary(&s.self.Member)
	s.raise(s.self.Incarnation + 1)
}

// SetConfiguration notes what the other instances are to know of this one's
// configuration.
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
