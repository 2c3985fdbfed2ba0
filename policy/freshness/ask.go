package freshness

import "time"

const (
	// askFraction of the bound is the age of a confirmation from which a VM that does not
	// read the store asks a peer.
	askFraction = 0.2
	// readerAskFraction is the same of a VM that reads the store: in regular use the age stays
	// below it most of the time, and three more calls fit in before the bound.
	readerAskFraction = 0.6
	// enoughFraction of the bound is the age of the confirmation below which a peer's answer ends
	// a round of calls; three more rounds fit in before the bound.
	enoughFraction = 0.6
	// storeFraction of the bound is the age from which a VM that peers feed calls the store
	// itself, since no peer can confirm its routes.
	storeFraction = 0.8
	// storeCallFraction of the bound is the least time between two such calls.
	storeCallFraction = 0.5
	// minPromptAge is the time since the latest call to the store below which none is
	// hastened; it exceeds the longest watch and the pause after it, so that the number of
	// calls stays as it is while the store answers.
	minPromptAge = 2 * time.Second
)

// ShouldAsk reports whether this VM asks a peer: for the comparison of versions or, if it
// serves requests with keys, since its confirmation has aged.
func (s *State) ShouldAsk(servesKeys, readsStore bool, now time.Duration) bool {
	if s.WantsAnswers() {
		return true
	}
	fraction := askFraction
	if readsStore {
		fraction = readerAskFraction
	}
	return servesKeys && s.olderThan(fraction, now)
}

// HasEnough reports whether a round of calls ends.
func (s *State) HasEnough(now time.Duration) bool {
	return !s.WantsAnswers() && !s.olderThan(enoughFraction, now)
}

// NeedsStore reports whether a VM that serves requests with keys calls the store itself
// although peers feed it.
func (s *State) NeedsStore(now time.Duration) bool {
	return s.olderThan(storeFraction, now) && s.sinceStore(now) > s.fraction(storeCallFraction)
}

// NeedsPromptAnswer reports whether the next watch of the store is to be answered soon, also
// without a change.
func (s *State) NeedsPromptAnswer(now time.Duration) bool {
	return s.sinceStore(now) > max(s.fraction(storeCallFraction), minPromptAge)
}

// sinceStore returns the time since the latest call to which the store had nothing newer.
func (s *State) sinceStore(now time.Duration) time.Duration {
	if !s.store.known {
		return now
	}
	return now - s.store.at
}

// olderThan reports whether there is no confirmation younger than a fraction of the bound.
func (s *State) olderThan(fraction float64, now time.Duration) bool {
	age, ok := s.Age(now)
	return !ok || age > s.fraction(fraction)
}

func (s *State) fraction(f float64) time.Duration { return time.Duration(f * float64(s.bound)) }
