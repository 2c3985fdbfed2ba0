package membership

import (
	"cmp"
	"slices"
	"time"
)

// queueLifetime is how long a statement is sent to neighbors; within it, several
// pings are exchanged with each neighbor.
const queueLifetime = 8 * time.Second

// queuedStatement is a statement waiting to be sent. There is at most one per VM.
type queuedStatement struct {
	vm string
	// statement is set when it differs from the record, as in a challenge.
	statement *Member
	// urgent statements are pushed at once.
	urgent bool
	// full statements carry all fields, since others may not know the process yet.
	full  bool
	until time.Duration
	order uint64
	// knownBy lists the members that the statement was received from or sent to.
	knownBy []string
}

func (s *State) enqueue(vm string, statement *Member, urgent, full bool, source string) {
	s.sequence++
	if old, ok := s.queue[vm]; ok {
		urgent = urgent || old.urgent
		full = full || old.full
	}
	s.queue[vm] = &queuedStatement{vm: vm, statement: statement, urgent: urgent, full: full,
		until: s.lastTick + queueLifetime, order: s.sequence, knownBy: []string{source}}
}

// markKnownBy records that a member has the queued statement about a VM.
func (s *State) markKnownBy(vm, by string) {
	const maxKnownBy = 64
	entry, ok := s.queue[vm]
	if ok && len(entry.knownBy) < maxKnownBy && !slices.Contains(entry.knownBy, by) {
		entry.knownBy = append(entry.knownBy, by)
	}
}

// removeExpiredStatements removes the statements older than queueLifetime.
func (s *State) removeExpiredStatements(now time.Duration) {
	for vm, entry := range s.queue {
		if now >= entry.until {
			delete(s.queue, vm)
		}
	}
}

// queuedMember returns the statement of a queue entry, or false when the VM is no
// longer known.
func (s *State) queuedMember(now time.Duration, entry *queuedStatement) (Member, bool) {
	if entry.statement != nil {
		return *entry.statement, true
	}
	if entry.vm == s.self.VM {
		return s.Self(now), true
	}
	if r, ok := s.members[entry.vm]; ok {
		return r.statementAt(now), true
	}
	if r, ok := s.tombstones[entry.vm]; ok {
		return r.statementAt(now), true
	}
	return Member{}, false
}

// message builds the content of a ping to a member, or of the response to its ping.
func (s *State) message(now time.Duration, to string) Message {
	m := Message{From: s.Self(now), Digest: s.digest}
	entries := make([]*queuedStatement, 0, len(s.queue))
	for _, entry := range s.queue {
		if entry.vm != to && entry.vm != s.self.VM && !slices.Contains(entry.knownBy, to) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *queuedStatement) int { return cmp.Compare(b.order, a.order) })
	for _, entry := range entries[:min(len(entries), s.settings.MaxUpdates)] {
		s.append(&m, now, entry)
		s.markKnownBy(entry.vm, to)
	}
	if r, ok := s.lookupRecord(to); ok && r.Status != Alive {
		m.Updates = append(m.Updates, r.statementAt(now))
	}
	return m
}

func (s *State) append(m *Message, now time.Duration, entry *queuedStatement) {
	statement, ok := s.queuedMember(now, entry)
	if !ok {
		return
	}
	if !entry.full {
		statement = abbreviate(statement)
	}
	m.Updates = append(m.Updates, statement)
}

// abbreviate clears the fields that a receiver who knows the process already has.
func abbreviate(m Member) Member {
	m.Region, m.Zone, m.CallersAddress, m.PeersAddress, m.Uptime = "", "", "", "", 0
	return m
}

// restoreOmitted restores the fields that abbreviate cleared. It returns false
// when this instance does not know the process.
func (s *State) restoreOmitted(now time.Duration, m *Member) bool {
	if m.PeersAddress != "" || m.CallersAddress != "" {
		return true
	}
	r, ok := s.lookupRecord(m.VM)
	if m.VM == s.self.VM {
		r, ok = &s.self, true
	}
	if !ok || r.Instance != m.Instance {
		return false
	}
	m.Region, m.Zone = r.Region, r.Zone
	m.CallersAddress, m.PeersAddress = r.CallersAddress, r.PeersAddress
	m.Uptime = now - r.started
	return true
}

func (s *State) lookupRecord(vm string) (*record, bool) {
	if r, ok := s.members[vm]; ok {
		return r, true
	}
	r, ok := s.tombstones[vm]
	return r, ok
}

// push sends the urgent statements to all neighbors.
func (s *State) push(now time.Duration) []Action {
	if now < s.nextPush {
		return nil
	}
	var urgent []*queuedStatement
	for _, entry := range s.queue {
		if entry.urgent {
			urgent = append(urgent, entry)
		}
	}
	if len(urgent) == 0 {
		return nil
	}
	slices.SortFunc(urgent, func(a, b *queuedStatement) int { return cmp.Compare(b.order, a.order) })
	s.nextPush = now + pushInterval
	urgent = urgent[:min(len(urgent), s.settings.MaxUpdates)]
	var actions []Action
	for _, vm := range s.neighbors {
		if r, ok := s.members[vm]; ok {
			actions = s.pushTo(now, r, urgent, actions)
		}
	}
	for _, entry := range urgent {
		entry.urgent = false
	}
	return actions
}

func (s *State) pushTo(now time.Duration, r *record, urgent []*queuedStatement, actions []Action) []Action {
	m := Message{From: s.Self(now), Digest: s.digest}
	for _, entry := range urgent {
		if entry.vm != s.self.VM && !slices.Contains(entry.knownBy, r.VM) {
			s.append(&m, now, entry)
			s.markKnownBy(entry.vm, r.VM)
		}
	}
	own := slices.ContainsFunc(urgent, func(entry *queuedStatement) bool { return entry.vm == s.self.VM })
	if len(m.Updates) == 0 && !own {
		return actions
	}
	return append(actions, Action{Kind: ActionPing, To: r.statementAt(now), Timeout: s.settings.ProbeTimeout, Message: m})
}

// HasUrgentStatements reports whether there are statements that Tick would push at once.
func (s *State) HasUrgentStatements() bool {
	for _, entry := range s.queue {
		if entry.urgent {
			return true
		}
	}
	return false
}
