package health

// Responses that queue behind one another are not independent, so the scores of
// healthy targets rise higher than the CUSUM test assumes. The mean height of
// these excursions is measured, and the limits are stretched in proportion.
const (
	// excursionBase is the score, in nats, above which an excursion is measured;
	// a single attempt seldom reaches it.
	excursionBase = 6.0
	// excursionEnd is the score at which an excursion is over.
	excursionEnd = 1.0
	// independentExcursionMean is the mean height of excursions above
	// excursionBase, in nats, when observations are independent.
	independentExcursionMean = 1.0
	// initialExcursionMean is the mean height above excursionBase, in nats, assumed
	// for the service-time rules before any excursion is measured.
	initialExcursionMean = 2.5
	// initialExcursionCount is the number of excursions that the initial estimate counts for.
	initialExcursionCount = 6.0
	// maxExcursionCount is the number of excursions over which the mean is averaged.
	maxExcursionCount = 64.0
	// maxExcursionFactor bounds one excursion, in multiples of the estimate, so
	// that a faulty target hardly changes it.
	maxExcursionFactor = 4.0
	// maxStretch bounds the factor by which the estimate stretches the limits.
	maxStretch = 8.0
)

// calibration estimates, for each rule, how high the scores of healthy targets rise.
type calibration struct {
	meanHeight [ruleCount]float64
	count      [ruleCount]float64
}

func newCalibration() calibration {
	var c calibration
	for i := range c.meanHeight {
		c.meanHeight[i] = initialExcursionMean
		c.count[i] = initialExcursionCount
	}
	c.meanHeight[RuleFailing], c.meanHeight[RuleWrong] = independentExcursionMean, independentExcursionMean
	return c
}

// recordExcursion adds the peak of an excursion that is over to the estimate.
func (c *calibration) recordExcursion(rule Rule, peak float64) {
	excess := min(peak-excursionBase, maxExcursionFactor*c.meanHeight[rule])
	c.count[rule] = min(maxExcursionCount, c.count[rule]+1)
	c.meanHeight[rule] += (excess - c.meanHeight[rule]) / c.count[rule]
}

// extraStretch returns a further factor for the limits of the rules whose evidence
// looks like that of a temporarily long queue.
func extraStretch(rule Rule) float64 {
	const queueingStretch = 1.5
	if rule == RuleSlow || rule == RuleSometimesSlow {
		return queueingStretch
	}
	return 1
}

// limits returns the score at which each rule marks a target as faulty.
func (c *calibration) limits(threshold float64) Scores {
	var limits Scores
	for i := range limits {
		stretch := min(maxStretch, max(independentExcursionMean, c.meanHeight[i])) * extraStretch(Rule(i))
		limits[i] = excursionBase + (threshold-excursionBase)*stretch
	}
	return limits
}

// trackExcursions updates the peaks of a target's excursions and records those
// that are over.
func (t *Tracker) trackExcursions(entry *target) {
	for i, score := range entry.tally.all {
		switch {
		case score > excursionBase:
			entry.peaks[i] = max(entry.peaks[i], score)
		case score < excursionEnd && entry.peaks[i] > 0:
			t.calibration.recordExcursion(Rule(i), entry.peaks[i])
			entry.peaks[i] = 0
			t.limits = t.calibration.limits(t.threshold)
		}
	}
}

// endExcursions records the excursions of a target that is taken out of service.
func (t *Tracker) endExcursions(entry *target) {
	for i, peak := range entry.peaks {
		if peak > 0 {
			t.calibration.recordExcursion(Rule(i), peak)
		}
	}
	entry.peaks = Scores{}
	t.limits = t.calibration.limits(t.threshold)
}

// nearestToLimit returns the rule whose score is nearest to its limit, and the
// share of the limit that it has reached.
func (t *Tracker) nearestToLimit(scores *Scores) (Rule, float64) {
	best, bestShare := Rule(0), 0.0
	for i, score := range scores {
		if share := score / t.limits[i]; share > bestShare {
			best, bestShare = Rule(i), share
		}
	}
	return best, bestShare
}

// othersFactor is the multiple of the other targets' mean score that is subtracted
// from a target's own, so that a fault common to all targets makes none faulty.
const othersFactor = 1.5

// pooledScores, zoneScores and vmScores select the scores that are compared.
func pooledScores(t *tally) *Scores { return &t.all }

func (t *Tracker) zoneScores(tally *tally) *Scores { return &tally.zones[t.zone] }

func vmScores(t *tally) *Scores { return &t.own }

// nearestToLimitRelative is nearestToLimit for a target's scores less those that
// the other targets in service have on average.
func (t *Tracker) nearestToLimitRelative(entry *target, scores func(*tally) *Scores) (Rule, float64) {
	relative := *scores(&entry.tally)
	var sum Scores
	others := 0.0
	for _, other := range t.targets {
		if other == entry || other.assessment.outOfService() {
			continue
		}
		sum.add(scores(&other.tally))
		others++
	}
	for i := range relative {
		if others > 0 {
			relative[i] = max(0, relative[i]-othersFactor*sum[i]/others)
		}
	}
	return t.nearestToLimit(&relative)
}
