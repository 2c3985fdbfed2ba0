package health

import "time"

// tally keeps a target's pooled evidence: of all VMs, of this VM alone, and
// with each zone left out, which tells a target's fault from a path's.
type tally struct {
	all Scores
	own Scores
	// zones holds the evidence of each zone alone.
	zones []Scores
	// without holds the evidence of all zones but one.
	without []Scores
}

func newTally(zones int) tally {
	return tally{zones: make([]Scores, zones), without: make([]Scores, zones)}
}

// add takes increments that were observed in a zone.
func (t *tally) add(zone int, own bool, increments *Scores) {
	t.all.plusReflected(increments)
	if own {
		t.own.plusReflected(increments)
	}
	t.zones[zone].plusReflected(increments)
	for i := range t.without {
		if i != zone {
			t.without[i].plusReflected(increments)
		}
	}
}

// each calls a function with every set of scores.
func (t *tally) each(visit func(*Scores)) {
	visit(&t.all)
	visit(&t.own)
	for i := range t.zones {
		visit(&t.zones[i])
		visit(&t.without[i])
	}
}

// least returns a rule's score with the zone left out that proves most.
func (t *tally) least(rule Rule) float64 {
	least := t.all[rule]
	for i := range t.without {
		least = min(least, t.without[i][rule])
	}
	return least
}

// reset forgets all evidence.
func (t *tally) reset() { t.each(func(s *Scores) { *s = Scores{} }) }

// fade lets old evidence lose weight.
func (t *tally) fade(factor float64) {
	t.each(func(s *Scores) {
		for i := range s {
			s[i] *= factor
		}
	})
}

// subtract takes off what all targets have in common.
func (t *tally) subtract(common *Scores) {
	t.each(func(s *Scores) {
		for i := range s {
			s[i] = max(0, s[i]-common[i])
		}
	})
}

const (
	// fadeInterval is the time between two fadings.
	fadeInterval = time.Second
	// fadeFactor halves idle evidence in about a minute.
	fadeFactor = 0.988
)
