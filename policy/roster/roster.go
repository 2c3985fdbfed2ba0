package roster

import (
	"maps"
	"slices"
	"time"
)

// RepublishGrace is how long after the store's return a live target's entry may
// take to come back.
const RepublishGrace = 2200 * time.Millisecond

// State is what a target says of its own willingness to take requests.
type State string

// The states of a target.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Target is one published target.
type Target struct {
	// ID is the instance identifier.
	ID      string
	Service string
	// Address is "IP:port".
	Address string
	Zone    string
	// SoftwareVersion is the version of the target's program.
	SoftwareVersion string
	// Slots is the number of requests that it runs at a time.
	Slots int
	State State
	// WarmUntil is the time, on the holder's clock, until which it is slow after its start.
	WarmUntil time.Duration
	// StartedAt is the time of its start as it tells it; it tells two starts under one ID apart.
	StartedAt time.Time
}

// record is a target together with what the roster knows of its entry.
type record struct {
	target Target
	// gone is the time at which a removal learned after an outage takes effect; zero for none.
	gone time.Duration
}

// Roster holds the targets of a deployment. It is not safe for concurrent use.
type Roster struct {
	records map[string]*record
	// returned is the time at which the store answered again after an outage.
	returned time.Duration
	away     bool
}

// New returns an empty roster.
func New() *Roster { return &Roster{records: make(map[string]*record), returned: -RepublishGrace} }

// MarkStoreUnreachable notes that the store cannot be reached.
func (r *Roster) MarkStoreUnreachable() { r.away = true }

// MarkStoreReachable notes an answer of the store.
func (r *Roster) MarkStoreReachable(now time.Duration) {
	if r.away {
		r.away, r.returned = false, now
	}
}

// Put takes over an entry. It reports whether anything changed that matters to
// the choice of a target.
func (r *Roster) Put(target Target) bool {
	old, known := r.records[target.ID]
	r.records[target.ID] = &record{target: target}
	return !known || old.gone != 0 || !same(old.target, target)
}

// same compares all but the time until which a target is slow.
func same(a, b Target) bool {
	a.WarmUntil, b.WarmUntil = 0, 0
	return a.StartedAt.Equal(b.StartedAt) && a.ID == b.ID && a.Service == b.Service && a.Address == b.Address &&
		a.Zone == b.Zone && a.Slots == b.Slots && a.State == b.State && a.SoftwareVersion == b.SoftwareVersion
}

// Remove takes an entry out. Soon after an outage the target is kept until its
// entry has had time to come back.
func (r *Roster) Remove(id string, now time.Duration) bool {
	record, known := r.records[id]
	if !known {
		return false
	}
	if back := r.returned + RepublishGrace; now < back && record.target.State == StateReady {
		if record.gone == 0 {
			record.gone = back
		}
		return false
	}
	delete(r.records, id)
	return true
}

// RemoveNow takes an entry out at once; its content names no target any more.
func (r *Roster) RemoveNow(id string) bool {
	_, known := r.records[id]
	delete(r.records, id)
	return known
}

// Retain removes the targets whose entries a complete listing no longer has.
func (r *Roster) Retain(listed map[string]bool, now time.Duration) bool {
	changed := false
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		if !listed[id] && r.Remove(id, now) {
			changed = true
		}
	}
	return changed
}

// Expire carries out the removals that are due and returns their targets.
func (r *Roster) Expire(now time.Duration) []string {
	var expired []string
	for id, record := range r.records {
		if record.gone != 0 && now >= record.gone {
			expired = append(expired, id)
			delete(r.records, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// Targets returns all targets in order of their identifiers.
func (r *Roster) Targets() []Target {
	targets := make([]Target, 0, len(r.records))
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		targets = append(targets, r.records[id].target)
	}
	return targets
}

// Len returns the number of targets.
func (r *Roster) Len() int { return len(r.records) }
