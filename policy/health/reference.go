package health

import (
	"math"
	"time"
)

// The reference keeps service times in buckets of a quarter of an octave.
const (
	bucketsPerOctave = 4
	bucketCount      = 96
	shortestTime     = 50 * time.Microsecond
)

const (
	// referenceLearned is the number of observations before times are judged.
	referenceLearned = 5000.0
	// referenceWindow is the number of observations after which old ones weigh half.
	referenceWindow = 65536.0
	// referenceRefresh is the number of own observations between two tables.
	referenceRefresh = 256
	// loadStep moves the common factor towards each observation, in log units.
	loadStep = 0.01
	// loadDecay draws the common factor back to 1 with each observation, since
	// the reference itself learns what lasts.
	loadDecay = 0.999
	// commonStep is the factor, in log units, taken up when all slow down at once.
	commonStep = 0.35
	// loadLimit bounds the common factor, in log units.
	loadLimit = 4.0
)

// reference learns how long a request takes on the service's targets and
// derives, for each hypothesis, what a time says for or against it.
type reference struct {
	counts [bucketCount]float64
	total  float64
	fresh  int
	// untold holds the observations that the other VMs do not know yet.
	untold [bucketCount]uint32
	median int
	// old is the bucket from which an attempt is old: 99 in 100 are shorter.
	old int
	// load is the logarithm of the factor by which all targets are slower now.
	load float64
	// ended and running hold the evidence of an attempt that ended within a
	// bucket, or still runs at that age.
	ended   [bucketCount]Scores
	running [bucketCount]Scores
}

// bucket returns the bucket of a time after removal of the common factor.
func (r *reference) bucket(taken time.Duration) int {
	if taken <= shortestTime {
		return 0
	}
	octaves := math.Log2(float64(taken)/float64(shortestTime)) - r.load*math.Log2E
	return min(bucketCount-1, max(0, int(octaves*bucketsPerOctave)))
}

// learned reports whether there is enough to judge by.
func (r *reference) learned() bool { return r.total >= referenceLearned }

// observe takes the time of a succeeded attempt on a target that is not suspect.
func (r *reference) observe(taken time.Duration) {
	at := r.bucket(taken)
	r.follow(at)
	r.untold[at]++
	r.add(at, 1)
	r.fresh++
	if r.fresh >= referenceRefresh {
		r.rebuild()
	}
}

// add counts observations of a bucket.
func (r *reference) add(at int, count float64) {
	r.counts[at] += count
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

// tell returns the observations since the last word.
func (r *reference) tell() []TimeCount {
	var times []TimeCount
	for i, count := range r.untold {
		if count > 0 {
			times = append(times, TimeCount{Bucket: i, Count: count})
		}
	}
	r.untold = [bucketCount]uint32{}
	return times
}

// hear takes the observations of another VM.
func (r *reference) hear(times []TimeCount) {
	for _, t := range times {
		if t.Bucket >= 0 && t.Bucket < bucketCount {
			r.add(t.Bucket, float64(min(t.Count, heardLimit)))
		}
	}
}

// heardLimit bounds the observations of one bucket that a message may add.
const heardLimit = 4096

// follow moves the common factor so that half of the times lie on each side.
func (r *reference) follow(at int) {
	if !r.learned() {
		return
	}
	switch {
	case at > r.median:
		r.load = min(loadLimit, r.load+loadStep)
	case at < r.median:
		r.load = max(-loadLimit, r.load-loadStep)
	}
	r.load *= loadDecay
}

// slowAll takes up that all targets have become slower together.
func (r *reference) slowAll() { r.load = min(loadLimit, r.load+commonStep) }

func (r *reference) halve() {
	for i := range r.counts {
		r.counts[i] /= 2
	}
	r.total /= 2
}

// rebuild derives the tables from the counts.
func (r *reference) rebuild() {
	r.fresh = 0
	density := r.density()
	survival := survivalOf(&density)
	r.findQuantiles(&survival)
	for _, h := range hypotheses {
		for i := range bucketCount {
			r.ended[i][h.rule] = h.clamp(math.Log(h.density(&density, i) / density[i]))
			r.running[i][h.rule] = h.clamp(math.Log(h.survival(&survival, i) / survival[i]))
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

// survivalOf returns the share of times that are longer than each bucket's start.
func survivalOf(density *[bucketCount]float64) [bucketCount]float64 {
	var survival [bucketCount]float64
	left := 0.0
	for i := bucketCount - 1; i >= 0; i-- {
		left += density[i]
		survival[i] = left
	}
	return survival
}

func (r *reference) findQuantiles(survival *[bucketCount]float64) {
	const middle, rare = 0.5, 0.02
	r.median, r.old = 0, bucketCount-1
	for i, left := range survival {
		if left >= middle {
			r.median = i
		}
		if left < rare {
			r.old = i
			return
		}
	}
}

// density returns the share of a bucket under the hypothesis.
func (h *hypothesis) density(usual *[bucketCount]float64, i int) float64 {
	if h.stalled {
		return (1 - h.share) * usual[i]
	}
	return (1-h.share)*usual[i] + h.share*usual[max(0, i-h.shift)]
}

// survival returns the share of longer times under the hypothesis.
func (h *hypothesis) survival(usual *[bucketCount]float64, i int) float64 {
	if h.stalled {
		return h.share + (1-h.share)*usual[i]
	}
	return (1-h.share)*usual[i] + h.share*usual[max(0, i-h.shift)]
}

// clamp bounds what one attempt can prove.
func (h *hypothesis) clamp(score float64) float64 {
	limit := evidenceLimit
	if h.stalled {
		limit = stalledLimit
	}
	return min(limit, max(-limit, score))
}

// failures learns the usual share of failed attempts.
type failures struct {
	failed, total float64
	onFailure     float64
	onSuccess     float64
}

const (
	// failuresPrior is the number of good attempts taken as seen beforehand.
	failuresPrior = 2000.0
	// failuresWindow is the number of attempts after which old ones weigh half.
	failuresWindow = 8000.0
)

func newFailures() failures {
	f := failures{failed: 1, total: failuresPrior}
	f.rebuild()
	return f
}

// observe takes the end of an attempt on a target that is not suspect.
func (f *failures) observe(failed bool) {
	f.total++
	if failed {
		f.failed++
	}
	if f.total >= failuresWindow {
		f.failed = max(1, f.failed/2)
		f.total /= 2
	}
	f.rebuild()
}

// evidence returns what the end of an attempt says, in nats.
func (f *failures) evidence(failed bool) float64 {
	if failed {
		return min(evidenceLimit, f.onFailure)
	}
	return f.onSuccess
}

// failAll takes up that all targets fail more often together.
func (f *failures) failAll() {
	const growth = 1.5
	f.failed = min(f.total/2, f.failed*growth)
	f.rebuild()
}

func (f *failures) rebuild() {
	const most = 0.9
	usual := f.failed / f.total
	supposed := min(most, max(failingShare, failingRatio*usual))
	f.onFailure = math.Log(supposed / usual)
	f.onSuccess = math.Log((1 - supposed) / (1 - usual))
}
