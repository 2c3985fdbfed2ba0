package health

import (
	"math"
	"time"
)

// The reference counts service times in logarithmic buckets, four to an octave.
const (
	bucketsPerOctave = 4
	bucketCount      = 96
	minServiceTime   = 50 * time.Microsecond
)

const (
	// minReferenceCount is the number of observations needed before service
	// times are evaluated.
	minReferenceCount = 5000.0
	// referenceWindow is the number of observations after which all weights are halved.
	referenceWindow = 65536.0
	// rebuildInterval is the number of own observations between two rebuilds
	// of the evidence tables.
	rebuildInterval = 256
	// logFactorStep is the change of the common factor's natural logarithm
	// towards each observation.
	logFactorStep = 0.01
	// logFactorDecay multiplies the common factor's natural logarithm at each
	// observation and so moves the factor back towards 1, since the reference itself
	// learns lasting changes.
	logFactorDecay = 0.999
	// logFactorRaise is the increase of the common factor's natural logarithm
	// when all targets slow down at once.
	logFactorRaise = 0.35
	// maxLogFactor bounds the common factor's natural logarithm in both
	// directions.
	maxLogFactor = 4.0
)

// reference learns the distribution of service times of the service's targets and
// derives the evidence of a service time for or against each hypothesis.
type reference struct {
	counts       [bucketCount]float64
	total        float64
	sinceRebuild int
	// unsent holds the observations that were not sent to the other VMs yet.
	unsent       [bucketCount]uint32
	medianBucket int
	// overdueBucket is the bucket from which an attempt is overdue: at least 98 in
	// 100 service times are shorter.
	overdueBucket int
	// logFactor is the natural logarithm of the common factor: how many times
	// slower all targets are now.
	logFactor float64
	// finishedEvidence and runningEvidence hold the evidence of an attempt that
	// ended within a bucket, or is still in progress at that age.
	finishedEvidence [bucketCount]Scores
	runningEvidence  [bucketCount]Scores
}

// bucket returns the bucket of a service time after removal of the common factor.
func (r *reference) bucket(elapsed time.Duration) int {
	if elapsed <= minServiceTime {
		return 0
	}
	octaves := math.Log2(float64(elapsed)/float64(minServiceTime)) - r.logFactor*math.Log2E
	return min(bucketCount-1, max(0, int(octaves*bucketsPerOctave)))
}

// hasEnoughSamples reports whether service times can be evaluated.
func (r *reference) hasEnoughSamples() bool { return r.total >= minReferenceCount }

// observe adds the service time of a successful attempt on a target that is not suspect.
func (r *reference) observe(elapsed time.Duration) {
	bucket := r.bucket(elapsed)
	r.updateCommonFactor(bucket)
	r.unsent[bucket]++
	r.add(bucket, 1)
	r.sinceRebuild++
	if r.sinceRebuild >= rebuildInterval {
		r.rebuild()
	}
}

// add adds observations to a bucket.
func (r *reference) add(bucket int, count float64) {
	r.counts[bucket] += count
	r.total += count
	if r.total >= referenceWindow {
		r.halve()
	}
}

// TimeCount is a number of observations in one bucket of service times.
type TimeCount struct {
	Bucket int
	Count  uint32
}

// takeUnsent returns the observations since the last message and marks them as sent.
func (r *reference) takeUnsent() []TimeCount {
	var times []TimeCount
	for i, count := range r.unsent {
		if count > 0 {
			times = append(times, TimeCount{Bucket: i, Count: count})
		}
	}
	r.unsent = [bucketCount]uint32{}
	return times
}

// addFromPeer adds the observations of another VM.
func (r *reference) addFromPeer(times []TimeCount) {
	for _, t := range times {
		if t.Bucket >= 0 && t.Bucket < bucketCount {
			r.add(t.Bucket, float64(min(t.Count, maxPeerCount)))
		}
	}
}

// maxPeerCount bounds the observations of one bucket that a message may add.
const maxPeerCount = 4096

// updateCommonFactor moves the common factor so that the median of the corrected service
// times stays that of the reference.
func (r *reference) updateCommonFactor(bucket int) {
	if !r.hasEnoughSamples() {
		return
	}
	switch {
	case bucket > r.medianBucket:
		r.logFactor = min(maxLogFactor, r.logFactor+logFactorStep)
	case bucket < r.medianBucket:
		r.logFactor = max(-maxLogFactor, r.logFactor-logFactorStep)
	}
	r.logFactor *= logFactorDecay
}

// raiseCommonFactor raises the common factor when all targets have become slower together.
func (r *reference) raiseCommonFactor() { r.logFactor = min(maxLogFactor, r.logFactor+logFactorRaise) }

func (r *reference) halve() {
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.total /= 2
}

// rebuild computes the quantiles and the evidence tables from the counts.
func (r *reference) rebuild() {
	r.sinceRebuild = 0
	density := r.density()
	survival := survivalFrom(&density)
	r.findQuantiles(&survival)
	for _, h := range hypotheses {
		for i := range bucketCount {
			r.finishedEvidence[i][h.rule] = h.clamp(math.Log(h.density(&density, i) / density[i]))
			r.runningEvidence[i][h.rule] = h.clamp(math.Log(h.survival(&survival, i) / survival[i]))
		}
	}
}

// density returns the smoothed share of each bucket.
func (r *reference) density() [bucketCount]float64 {
	kernel := [...]float64{1, 2, 3, 2, 1}
	const kernelSum = 9
	const pseudoCount = 0.02
	var density [bucketCount]float64
	sum := 0.0
	for i := range density {
		density[i] = pseudoCount
		for k, weight := range kernel {
			if j := i + k - len(kernel)/2; j >= 0 && j < bucketCount {
				density[i] += weight / kernelSum * r.counts[j]
			}
		}
		sum += density[i]
	}
	for i := range density {
		density[i] /= sum
	}
	return density
}

// survivalFrom returns the share of service times that are longer than each
// bucket's start.
func survivalFrom(density *[bucketCount]float64) [bucketCount]float64 {
	var survival [bucketCount]float64
	sum := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		sum += density[i]
		survival[i] = sum
	}
	return survival
}

func (r *reference) findQuantiles(survival *[bucketCount]float64) {
	const medianShare, overdueShare = 0.5, 0.02
	r.medianBucket, r.overdueBucket = 0, bucketCount-1
	for i, share := range survival {
		if share >= medianShare {
			r.medianBucket = i
		}
		if share < overdueShare {
			r.overdueBucket = i
			return
		}
	}
}

// density returns the share of a bucket under the hypothesis.
func (h *hypothesis) density(expected *[bucketCount]float64, i int) float64 {
	if h.stalled {
		return (1 - h.share) * expected[i]
	}
	return (1-h.share)*expected[i] + h.share*expected[max(0, i-h.shift)]
}

// survival returns the share of longer service times under the hypothesis.
func (h *hypothesis) survival(expected *[bucketCount]float64, i int) float64 {
	if h.stalled {
		return h.share + (1-h.share)*expected[i]
	}
	return (1-h.share)*expected[i] + h.share*expected[max(0, i-h.shift)]
}

// clamp bounds the evidence of one attempt.
func (h *hypothesis) clamp(score float64) float64 {
	limit := maxAttemptNats
	if h.stalled {
		limit = maxStalledNats
	}
	return min(limit, max(-limit, score))
}

// failureRate learns the expected share of failed attempts.
type failureRate struct {
	failed, total float64
	// failureNats and successNats are the evidence of one failed and of one
	// successful attempt, in nats.
	failureNats float64
	successNats float64
}

const (
	// initialAttemptCount is the number of attempts assumed at the start, one
	// of them failed.
	initialAttemptCount = 2000.0
	// failureRateWindow is the number of attempts after which all weights are halved.
	failureRateWindow = 8000.0
)

func newFailureRate() failureRate {
	f := failureRate{failed: 1, total: initialAttemptCount}
	f.update()
	return f
}

// observe adds the result of an attempt on a target that is not suspect.
func (f *failureRate) observe(failed bool) {
	f.total++
	if failed {
		f.failed++
	}
	if f.total >= failureRateWindow {
		f.failed = max(1, f.failed/2)
		f.total /= 2
	}
	f.update()
}

// evidence returns the evidence of a result, in nats.
func (f *failureRate) evidence(failed bool) float64 {
	if failed {
		return min(maxAttemptNats, f.failureNats)
	}
	return f.successNats
}

// raise raises the expected share when all targets fail more often together.
func (f *failureRate) raise() {
	const growth = 1.5
	f.failed = min(f.total/2, f.failed*growth)
	f.update()
}

func (f *failureRate) update() {
	const maxShare = 0.9
	expected := f.failed / f.total
	assumed := min(maxShare, max(minFailingShare, minFailingRatio*expected))
	f.failureNats = math.Log(assumed / expected)
	f.successNats = math.Log((1 - assumed) / (1 - expected))
}
