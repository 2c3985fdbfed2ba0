package health

import (
	"math"
	"time"
)

// Rule is one hypothesis about what is wrong with a target. Each rule has its
// own score, because evidence for one may be evidence against another.
type Rule int

// The rules.
const (
	// RuleFailing assumes that at least a fifth of the attempts, or three times the
	// expected share if that is more, get no complete response.
	RuleFailing Rule = iota
	// RuleWrong assumes that at least a fifth of the attempts, or three times the
	// expected share if that is more, get a wrong response.
	RuleWrong
	// RuleStalled assumes that attempts do not end.
	RuleStalled
	// RuleSlow assumes service times about three times those of the other targets.
	RuleSlow
	// RuleVerySlow assumes service times about ten times those of the other targets.
	RuleVerySlow
	// RuleSometimesSlow assumes that one request in five takes ten times as long.
	RuleSometimesSlow

	ruleCount = 6
)

// String returns the rule's name as findings show it.
func (r Rule) String() string {
	names := [ruleCount]string{"failing", "wrong", "stalled", "slow", "very_slow", "sometimes_slow"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Scores holds one log-likelihood ratio for each rule, in nats.
type Scores [ruleCount]float64

// isZero reports whether all scores are zero.
func (s *Scores) isZero() bool { return *s == Scores{} }

// add adds increments.
func (s *Scores) add(other *Scores) {
	for i := range s {
		s[i] += other[i]
	}
}

// addClamped adds increments and keeps every score at zero or above, as the
// statistic of a CUSUM test requires.
func (s *Scores) addClamped(other *Scores) {
	for i := range s {
		s[i] = max(0, s[i]+other[i])
	}
}

// highest returns the rule with the highest score, and that score.
func (s *Scores) highest() (Rule, float64) {
	best := Rule(0)
	for i := range s {
		if s[i] > s[best] {
			best = Rule(i)
		}
	}
	return best, s[best]
}

// hypothesis is the service-time distribution that a rule assumes: a share of
// the requests takes a multiple of the expected time.
type hypothesis struct {
	rule  Rule
	share float64
	// shift is the logarithm of the multiple, in buckets of the reference, of which
	// bucketsPerOctave are a doubling. It is unused when stalled is set.
	shift int
	// stalled is set when that share of the requests never ends.
	stalled bool
}

// hypotheses are the hypotheses about service times.
var hypotheses = [...]hypothesis{
	{rule: RuleStalled, share: 0.9, stalled: true},
	{rule: RuleSlow, share: 0.95, shift: 6},
	{rule: RuleVerySlow, share: 0.95, shift: 13},
	{rule: RuleSometimesSlow, share: 0.2, shift: 13},
}

const (
	// minFailingShare is the minimum share of failures that the rules assume.
	minFailingShare = 0.2
	// minFailingRatio is the minimum ratio of the assumed to the expected share
	// of failures.
	minFailingRatio = 3.0
	// maxAttemptNats bounds the evidence of a single attempt, in nats.
	maxAttemptNats = 8.0
	// maxStalledNats bounds the evidence of one attempt that does not end, in nats.
	maxStalledNats = 11.0
	// overshoot is subtracted, in nats, from the threshold h that the bound e^h gives:
	// the steps of this CUSUM are large, so a score that crosses the threshold
	// typically ends above it.
	overshoot = 1.5
)

// month is the period to which the accepted number of false ejections refers.
const month = 30 * 24 * time.Hour

// Threshold returns the score, in nats, at which a target is marked faulty. A
// CUSUM of log-likelihood ratios passes h at most once in e^h observations of a
// healthy target on average, so h follows from the observations per month, the
// number of rules and the accepted number of false ejections per target and month.
func Threshold(falsePerTargetMonth, observationsPerSecond float64) float64 {
	const minThreshold = 6.0
	observations := observationsPerSecond * month.Seconds() * ruleCount
	if falsePerTargetMonth <= 0 || observations <= 0 {
		return minThreshold
	}
	return max(minThreshold, math.Log(observations/falsePerTargetMonth)-overshoot)
}
