package membership

import (
	"cmp"
	"slices"
	"time"
)

// queueLifetime is the time for which a statement is passed on; each neighbor
// is pinged, or pings, several times in it.
const queueLifetime = 8 * time.Second

// queued is a statement waiting to be passed on. There is one for each VM.
type queued struct {
	vm string
	// statement is set when it differs from the record, as for a challenge.
	statement *Member
	// urgent statements are pushed at once.
	urgent bool
	// full statements describe a process that others may not know yet.
	full  bool
	until time.Duration
	order uint64
	// knownBy are the members that have sent the statement or were sent it.
	knownBy []string
}

func (s *State) enqueue(vm string, statement *Member, urgent, full bool, source string) {
	s.sequence++
	if old, ok := s.queue[vm]; ok {
		urgent = urgent || old.urgent
		full = full || old.full
	}
	s.queue[vm] = &queued{vm: vm, statement: statement, urgent: urgent, full: full,
		until: s.lastTick + queueLifetime, order: s.sequence, knownBy: []string{source}}
}

// noteKnown remembers that a member holds the statement about a VM.
func (s *State) noteKnown(vm, by string) {
	const maxKnownBy = 64
	entry, ok := s.queue[vm]
	if ok && len(entry.knownBy) < maxKnownBy && !slices.Contains(entry.knownBy, by) {
		entry.knownBy = append(entry.knownBy, by)
	}
}

// dropPassedOn forgets the statements whose time has passed.
func (s *State) dropPassedOn(now time.Duration) {
	for vm, entry := range s.queue {
		if now >= entry.until {
			delete(s.queue, vm)
		}
	}
}

// render returns the statement of a queue entry, or false when it is obsolete.
func (s *State) render(now time.Duration, entry *queued) (Member, bool) {
	if entry.statement != nil {
		return *entry.statement, true
	}
	if entry.vm == s.self.VM {
		return s.Self(now), true
	}
	if r, ok := s.members[entry.vm]; ok {
		return r.at(now), true
	}
	if r, ok := s.graves[entry.vm]; ok {
		return r.at(now), true
	}
	return Member{}, false
}

// message builds what a ping to a member, or its answer, carries.
func (s *State) message(now time.Duration, to string) Message {
	m := Message{From: s.Self(now), Digest: s.digest}
	entries := make([]*queued, 0, len(s.queue))
	for _, entry := range s.queue {
		if entry.vm != to && entry.vm != s.self.VM && !slices.Contains(entry.knownBy, to) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *queued) int { return cmp.Compare(b.order, a.order) })
	for _, entry := range entries[:min(len(entries), s.settings.MaxUpdates)] {
		s.append(&m, now, entry)
		s.noteKnown(entry.vm, to)
	}
	if r, ok := s.known(to); ok && r.Status != Alive {
		m.Updates = append(m.Updates, r.at(now))
	}
	return m
}

func (s *State) append(m *Message, now time.Duration, entry *queued) {
	statement, ok := s.render(now, entry)
	if !ok {
		return
	}
	if !entry.full {
		statement = brief(statement)
	}
	m.Updates = append(m.Updates, statement)
}

// brief leaves out what a receiver that knows the process holds already.
func brief(m Member) Member {
	m.Region, m.Zone, m.CallersAddress, m.PeersAddress, m.Uptime = "", "", "", "", 0
	return m
}

// complete fills in what a brief statement leaves out; false when the process
// it is about is not known here.
func (s *State) complete(now time.Duration, m *Member) bool {
	if m.PeersAddress != "" || m.CallersAddress != "" {
		return true
	}
	r, ok := s.known(m.VM)
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

func (s *State) known(vm string) (*record, bool) {
	if r, ok := s.members[vm]; ok {
		return r, true
	}
	r, ok := s.graves[vm]
	return r, ok
}

// push hands the urgent statements to all neighbors.
func (s *State) push(now time.Duration) []Action {
	if now < s.nextPush {
		return nil
	}
	var urgent []*queued
	for _, entry := range s.queue {
		if entry.urgent {
			urgent = append(urgent, entry)
		}
	}
	if len(urgent) == 0 {
		return nil
	}
	slices.SortFunc(urgent, func(a, b *queued) int { return cmp.Compare(b.order, a.order) })
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

func (s *State) pushTo(now time.Duration, r *record, urgent []*queued, actions []Action) []Action {
	m := Message{From: s.Self(now), Digest: s.digest}
	for _, entry := range urgent {
		if entry.vm != s.self.VM && !slices.Contains(entry.knownBy, r.VM) {
			s.append(&m, now, entry)
			s.noteKnown(entry.vm, r.VM)
		}
	}
	own := slices.ContainsFunc(urgent, func(entry *queued) bool { return entry.vm == s.self.VM })
	if len(m.Updates) == 0 && !own {
		return actions
	}
	return append(actions, Action{Kind: ActionPing, To: r.at(now), Timeout: s.settings.ProbeTimeout, Message: m})
}

// HasUrgentStatements tells whether statements wait that Tick would push at once.
func (s *State) HasUrgentStatements() bool {
	for _, entry := range s.queue {
		if entry.urgent {
			return true
		}
	}
	return false
}
