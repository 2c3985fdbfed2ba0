package soak

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// minCopyAge and maxCopyAge bound how old the copy is from which the store comes back.
	minCopyAge, maxCopyAge = 500 * time.Millisecond, 4 * time.Second
	// minStoreDown and maxStoreDown bound how long the store is down before.
	minStoreDown, maxStoreDown = 100 * time.Millisecond, 900 * time.Millisecond
	// maxRepublishTime is how long the operator and the targets take to publish again.
	maxRepublishTime = 1500 * time.Millisecond
	// maxStorm bounds the versions of the routes that are published in quick succession,
	// stormPause apart, between the copy and the outage.
	maxStorm, stormPause = 24, 40 * time.Millisecond
	// entryLifetime is how long the entry of a target that has ended stays in a store that
	// was restored.
	entryLifetime = 4500 * time.Millisecond
)

// restoreStore takes the store down and restores it from a copy. Then the operator and
// the targets publish again what they published before, in random order, and the operator
// publishes one more version of the routes.
func (s *series) restoreStore() {
	store := s.soak.store
	copied := store.Copy()
	for range s.random.IntN(maxStorm) {
		s.soak.publish()
		time.Sleep(stormPause)
	}
	time.Sleep(s.drawDuration(minCopyAge, maxCopyAge))
	s.soak.countFault("store restored")
	from := time.Now()
	store.TakeDown()
	time.Sleep(s.drawDuration(minStoreDown, maxStoreDown))
	store.Restore(copied)
	steps := []func(){s.soak.republishRoutes}
	for _, t := range s.soak.runningTargets() {
		steps = append(steps, func() { s.soak.republishTarget(t) })
	}
	s.random.Shuffle(len(steps), func(i, j int) { steps[i], steps[j] = steps[j], steps[i] })
	for _, step := range steps {
		time.Sleep(s.drawDuration(0, maxRepublishTime/time.Duration(len(steps))))
		step()
	}
	s.soak.checker.recordStoreDisturbance(from, time.Now())
	s.soak.publish()
	time.Sleep(entryLifetime)
	s.soak.expireEntries()
}

// republishRoutes publishes the newest version of the routes once more.
func (s *soak) republishRoutes() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	version := s.newestVersion()
	s.store.PublishRoutes(routesOf(version), s.customersOf(version)...)
}

// runningTargets returns the targets that have not ended.
func (s *soak) runningTargets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.targets)
}

// republishTarget publishes the entry of a target that is up once more.
func (s *soak) republishTarget(t *target) {
	t.mu.Lock()
	down := t.down
	t.mu.Unlock()
	if down {
		return
	}
	info := t.report()
	s.store.PublishTarget(info)
	if info.State == roster.StateDraining {
		s.checker.recordDrain(info.ID, time.Now())
	}
}

// expireEntries removes the entries whose targets have ended.
func (s *soak) expireEntries() {
	running := make(map[string]bool)
	for _, t := range s.runningTargets() {
		running[t.id()] = true
	}
	for _, id := range s.store.Targets() {
		if !running[id] {
			s.store.RemoveTarget(id)
		}
	}
}
