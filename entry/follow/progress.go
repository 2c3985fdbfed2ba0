package follow

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
)

const (
	// minPatience and maxPatience bound how long an instance waits for what was announced until it asks
	// the store. Each draws its own, so that those whom one feeder leaves behind don't ask together. Both
	// are a part of the 2 s within which a version has to be in force.
	minPatience, maxPatience = 400 * time.Millisecond, 1300 * time.Millisecond
	// disprovedTime is how long announcements count for nothing after the store itself did not have what
	// one of them claimed. It bounds the calls that a wrong claim costs.
	disprovedTime = 6 * time.Second
	// maxAheadVMs is the number of instances with a newer position that are asked in turn.
	maxAheadVMs = 4
)

// progress is whether other instances bring what they announce. An announcement alone does not feed an
// instance.
type progress struct {
	// lacking is the first position that was announced and not reached since; zero for none.
	lacking contract.StorePosition
	// patienceEnds is the uptime from which the store is asked; disprovedUntil is the uptime until which
	// announcements count for nothing.
	patienceEnds, disprovedUntil time.Duration
	// isReported is true once the lack was logged.
	isReported bool
}

// announced records a position that another instance has announced, given this instance's own.
func (p *progress) announced(position, own contract.StorePosition, now time.Duration) {
	if p.lacking.IsZero() && position.Compare(own) > 0 && now >= p.disprovedUntil {
		p.lacking, p.isReported = position, false
		p.patienceEnds = now + randomBetween(minPatience, maxPatience)
	}
}

// reached records this instance's position.
func (p *progress) reached(own contract.StorePosition) {
	if own.Compare(p.lacking) >= 0 {
		p.lacking = contract.StorePosition{}
	}
}

// disproved records that the store itself does not have what was announced.
func (p *progress) disproved(now time.Duration) {
	if !p.lacking.IsZero() {
		p.lacking, p.disprovedUntil = contract.StorePosition{}, now+disprovedTime
	}
}

// isLate reports whether what was announced should have arrived.
func (p *progress) isLate(now time.Duration) bool {
	return !p.lacking.IsZero() && now >= p.patienceEnds
}

// isLeftBehind reports whether this instance asks the store since others don't bring what they announce,
// for whatever reason. It logs and counts the first time.
func (f *Follower) isLeftBehind() bool {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.progress.isLate(now) {
		return false
	}
	if !f.progress.isReported {
		f.progress.isReported = true
		f.options.Scope.Counter("left_behind").Inc(1)
		events.LeftBehind.Log(f.options.Logger, "revision", f.position.Revision, "era", f.position.Era,
			"announced_revision", f.progress.lacking.Revision, "announced_era", f.progress.lacking.Era)
	}
	return true
}

// storeAnswered records that the store has given all that it has.
func (f *Follower) storeAnswered() {
	now := f.options.Uptime()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.progress.isLate(now) {
		f.progress.disproved(now)
	}
}
