package health

import "time"

// tally holds a target's evidence: of all VMs, of this VM alone, of each zone
// alone, and of all zones but one, which distinguishes a fault of the target from
// one of a path.
type tally struct {
	all Scores
	own Scores
	// zones holds the evidence of each zone alone.
	zones []Scores
	// withoutZone holds the evidence of all zones but the one of the index.
	withoutZone []Scores
}

func newTally(zones int) tally {
	return tally{zones: make([]Scores, zones), withoutZone: make([]Scores, zones)}
}

// add adds increments that were observed in a zone; own ones are this VM's.
func (t *tally) add(zone int, own bool, increments *Scores) {
	t.all.addClamped(increments)
	if own {
		t.own.addClamped(increments)
	}
	t.zones[zone].addClamped(increments)
	for i := range t.withoutZone {
		if i != zone {
			t.withoutZone[i].addClamped(increments)
		}
	}
}

// forEach calls a function with every set of scores.
func (t *tally) forEach(visit func(*Scores)) {
	visit(&t.all)
	visit(&t.own)
	for i := range t.zones {
		visit(&t.zones[i])
		visit(&t.withoutZone[i])
	}
}

// scoreWithoutTopZone returns a rule's score without the zone that has the most
// evidence.
func (t *tally) scoreWithoutTopZone(rule Rule) float64 {
	lowest := t.all[rule]
	for i := range t.withoutZone {
		lowest = min(lowest, t.withoutZone[i][rule])
	}
	return lowest
}

// reset clears all evidence.
func (t *tally) reset() { t.forEach(func(s *Scores) { *s = Scores{} }) }

// decay multiplies all evidence by a factor.
func (t *tally) decay(factor float64) {
	t.forEach(func(s *Scores) {
		for i := range s {
			s[i] *= factor
		}
	})
}

// subtract removes the evidence that all targets have in common.
func (t *tally) subtract(common *Scores) {
	t.forEach(func(s *Scores) {
		for i := range s {
			s[i] = max(0, s[i]-common[i])
		}
	})
}

const (
	// decayInterval is the time between two decays of the evidence.
	decayInterval = time.Second
	// decayFactor halves evidence that is not renewed in about a minute.
	decayFactor = 0.988
)
