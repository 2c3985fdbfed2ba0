package membership

import (
	"cmp"
	"slices"
	"time"
)

// queued is a statement waiting to be passed on. There is one for each VM.
type queued struct {
	vm string
	// statement is set when it differs from the record, as for a challenge.
	statement *Member
	// urgent statements are pushed at once.
	urgent bool
	left   int
	order  uint64
	// source is the member that handed the statement over.
	source string
}

func (s *State) enqueue(vm string, statement *Member, urgent bool, source string) {
	s.sequence++
	if old, ok := s.queue[vm]; ok {
		urgent = urgent || old.urgent
	}
	s.queue[vm] = &queued{vm: vm, statement: statement, urgent: urgent,
		left: s.settings.Transmissions, order: s.sequence, source: source}
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
		if entry.vm != to && entry.source != to {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(b.order, a.order))
	})
	for _, entry := range entries[:min(len(entries), s.settings.MaxUpdates)] {
		if entry.vm != s.self.VM {
			s.append(&m, now, entry)
		}
		entry.left--
		if entry.left <= 0 && !entry.urgent {
			delete(s.queue, entry.vm)
		}
	}
	if r, ok := s.known(to); ok && r.Status != Alive {
		m.Updates = append(m.Updates, r.at(now))
	}
	return m
}

func (s *State) append(m *Message, now time.Duration, entry *queued) {
	if statement, ok := s.render(now, entry); ok {
		m.Updates = append(m.Updates, statement)
	}
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
		entry.left = min(entry.left, s.settings.Transmissions/2)
	}
	return actions
}

func (s *State) pushTo(now time.Duration, r *record, urgent []*queued, actions []Action) []Action {
	m := Message{From: s.Self(now), Digest: s.digest}
	for _, entry := range urgent {
		if entry.source != r.VM && entry.vm != s.self.VM {
			s.append(&m, now, entry)
		}
	}
	own := slices.ContainsFunc(urgent, func(entry *queued) bool { return entry.vm == s.self.VM })
	if len(m.Updates) == 0 && !own {
		return actions
	}
	return append(actions, Action{Kind: ActionPing, To: r.at(now), Timeout: s.settings.ProbeTimeout, Message: m})
}

// Urgent tells whether statements wait that Tick would push at once.
func (s *State) Urgent() bool {
	for _, entry := range s.queue {
		if entry.urgent {
			return true
		}
	}
	return false
}
