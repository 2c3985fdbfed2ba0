package health

// Answers that queue behind one another are not independent, so the scores of
// healthy targets wander further than the test assumes. The height of their
// excursions shows how much further, and the limits are stretched by it.
const (
	// excursionBase is the score, in nats, above which an excursion is measured;
	// a single attempt seldom gets there.
	excursionBase = 6.0
	// excursionEnd is the score at which an excursion is over.
	excursionEnd = 1.0
	// excursionMean is the mean height above the base of independent evidence.
	excursionMean = 1.0
	// excursionDoubt is the mean height taken for service times before any is seen.
	excursionDoubt = 2.5
	// excursionPrior is the number of excursions that the first estimate counts for.
	excursionPrior = 6.0
	// excursionMemory is the number of excursions that the estimate goes back.
	excursionMemory = 64.0
	// excursionClip bounds one excursion, in multiples of the estimate, so that
	// a sick target hardly counts.
	excursionClip = 4.0
	// stretchLimit bounds the estimate.
	stretchLimit = 8.0
)

// calibration estimates, for each rule, how far healthy targets' scores wander.
type calibration struct {
	mean [ruleCount]float64
	seen [ruleCount]float64
}

func newCalibration() calibration {
	var c calibration
	for i := range c.mean {
		c.mean[i] = excursionDoubt
		c.seen[i] = excursionPrior
	}
	c.mean[RuleFailing], c.mean[RuleWrong] = excursionMean, excursionMean
	return c
}

// ended takes the peak of an excursion that is over.
func (c *calibration) ended(rule Rule, peak float64) {
	excess := min(peak-excursionBase, excursionClip*c.mean[rule])
	c.seen[rule] = min(excursionMemory, c.seen[rule]+1)
	c.mean[rule] += (excess - c.mean[rule]) / c.seen[rule]
}

// caution stretches the limits of the rules whose evidence resembles that of a
// queue which is long for a while.
func caution(rule Rule) float64 {
	const queueLike = 1.5
	if rule == RuleSlow || rule == RuleSometimesSlow {
		return queueLike
	}
	return 1
}

// limits returns the score at which each rule convicts.
func (c *calibration) limits(threshold float64) Scores {
	var limits Scores
	for i := range limits {
		stretch := min(stretchLimit, max(excursionMean, c.mean[i])) * caution(Rule(i))
		limits[i] = excursionBase + (threshold-excursionBase)*stretch
	}
	return limits
}

// excursions follows a target's scores.
func (t *Tracker) excursions(entry *target) {
	for i, score := range entry.tally.all {
		switch {
		case score > excursionBase:
			entry.peaks[i] = max(entry.peaks[i], score)
		case score < excursionEnd && entry.peaks[i] > 0:
			t.calibration.ended(Rule(i), entry.peaks[i])
			entry.peaks[i] = 0
			t.limits = t.calibration.limits(t.threshold)
		}
	}
}

// endExcursions ends the excursions of a target that goes out.
func (t *Tracker) endExcursions(entry *target) {
	for i, peak := range entry.peaks {
		if peak > 0 {
			t.calibration.ended(Rule(i), peak)
		}
	}
	entry.peaks = Scores{}
	t.limits = t.calibration.limits(t.threshold)
}

// level returns the rule that comes nearest to its limit, and the share of the
// limit that it has reached.
func (t *Tracker) level(scores *Scores) (Rule, float64) {
	best, level := Rule(0), 0.0
	for i, score := range scores {
		if share := score / t.limits[i]; share > level {
			best, level = Rule(i), share
		}
	}
	return best, level
}

// othersFactor is how many times the other targets' mean score is taken off a
// target's own. What befalls all alike then convicts none.
const othersFactor = 1.5

// pooled, ofZone and ofVM choose the scores that are compared.
func pooled(t *tally) *Scores { return &t.all }

func (t *Tracker) ofZone(tally *tally) *Scores { return &tally.zones[t.zone] }

func ofVM(t *tally) *Scores { return &t.own }

// relativeLevel is the level of a target's scores after removal of what the
// other targets in service have too.
func (t *Tracker) relativeLevel(entry *target, scores func(*tally) *Scores) (Rule, float64) {
	relative := *scores(&entry.tally)
	var sum Scores
	others := 0.0
	for _, other := range t.targets {
		if other == entry || other.verdict.out() {
			continue
		}
		sum.plus(scores(&other.tally))
		others++
	}
	for i := range relative {
		if others > 0 {
			relative[i] = max(0, relative[i]-othersFactor*sum[i]/others)
		}
	}
	return t.level(&relative)
}
