package health

import (
	"math"
	"time"
)

// Rule is one hypothesis about what is wrong with a target. Each rule has its
// own score, because what proves one may speak against another.
type Rule int

// The rules.
const (
	// RuleFailing supposes that a fifth of the attempts gets no whole answer.
	RuleFailing Rule = iota
	// RuleWrong supposes that a fifth of the attempts gets a wrong answer.
	RuleWrong
	// RuleStalled supposes that attempts do not end.
	RuleStalled
	// RuleSlow supposes service times of about three times the others'.
	RuleSlow
	// RuleVerySlow supposes service times of about ten times the others'.
	RuleVerySlow
	// RuleSometimesSlow supposes that one request in five takes ten times as long.
	RuleSometimesSlow

	ruleCount = 6
)

// String names the rule for findings.
func (r Rule) String() string {
	names := [ruleCount]string{"failing", "wrong", "stalled", "slow", "very_slow", "sometimes_slow"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Scores holds one log-likelihood ratio for each rule, in nats.
type Scores [ruleCount]float64

// zero reports whether nothing is to be told.
func (s *Scores) zero() bool { return *s == Scores{} }

// plus adds another set of increments.
func (s *Scores) plus(other *Scores) {
	for i := range s {
		s[i] += other[i]
	}
}

// plusReflected adds increments and keeps every score at zero or above, which
// makes it the statistic of a CUSUM test.
func (s *Scores) plusReflected(other *Scores) {
	for i := range s {
		s[i] = max(0, s[i]+other[i])
	}
}

// strongest returns the rule with the highest score.
func (s *Scores) strongest() (Rule, float64) {
	best := Rule(0)
	for i := range s {
		if s[i] > s[best] {
			best = Rule(i)
		}
	}
	return best, s[best]
}

// hypothesis is the service-time distribution that a rule supposes: a share of
// the requests takes a multiple of the usual time.
type hypothesis struct {
	rule  Rule
	share float64
	// shift is in buckets of the reference; stalled requests never end.
	shift   int
	stalled bool
}

// hypotheses are those about service times.
var hypotheses = [...]hypothesis{
	{rule: RuleStalled, share: 0.9, stalled: true},
	{rule: RuleSlow, share: 0.95, shift: 6},
	{rule: RuleVerySlow, share: 0.95, shift: 13},
	{rule: RuleSometimesSlow, share: 0.2, shift: 13},
}

const (
	// failingShare is the share of failures that the rules suppose at least.
	failingShare = 0.2
	// failingRatio is its least distance from the usual share of failures.
	failingRatio = 3.0
	// evidenceLimit bounds what a single attempt can prove, in nats.
	evidenceLimit = 8.0
	// stalledLimit bounds what one attempt that does not end can prove, in nats.
	stalledLimit = 11.0
	// overshoot is by how much, in nats, a CUSUM of steps as large as these
	// passes its threshold later than the bound e^h says.
	overshoot = 1.5
)

// month is the span over which false ejections are stated.
const month = 30 * 24 * time.Hour

// Threshold returns the score, in nats, at which a target is convicted. A CUSUM
// of log-likelihood ratios passes h at most once in e^h observations of a
// healthy target, so h follows from the observations a month, the number of
// rules and the accepted number of false ejections a target and month.
func Threshold(falsePerTargetMonth, observationsPerSecond float64) float64 {
	const lowest = 6.0
	observations := observationsPerSecond * month.Seconds() * ruleCount
	if falsePerTargetMonth <= 0 || observations <= 0 {
		return lowest
	}
	return max(lowest, math.Log(observations/falsePerTargetMonth)-overshoot)
}
