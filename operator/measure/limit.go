package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// limitSamples is the number of draws for the distribution of service times.
const limitSamples = 200_000

// informationLimit returns the least mean time in which any test with the
// service's rate of false ejections can tell the scenario's fault: the log of
// the number of observations between two false ejections, divided by the
// information that the requests give in a second (Lorden's bound). It is zero
// for scenarios whose fault is not of this kind.
func informationLimit(s *Scenario) document.Duration {
	if len(s.Faults) == 0 || s.Faults[0].Fraction > 0 || s.Faults[0].Period > 0 {
		return 0
	}
	rate := s.load * float64(s.size.Slots) / s.size.MeanTime.Seconds()
	needed := math.Log(rate * month.Seconds() / s.size.FalseEjectionsPerTargetMonth)
	fault := &s.Faults[0]
	seconds := 0.0
	switch fault.Kind {
	case FaultDead, FaultWrong:
		seconds = needed / (rate * bernoulli(1))
	case FaultErrors:
		seconds = needed / (rate * bernoulli(fault.share()))
	case FaultSlow:
		seconds = slowLimit(s, fault, rate, needed)
	case FaultHung:
		seconds = hungLimit(s, needed)
	}
	return document.Duration(seconds * float64(time.Second))
}

// bernoulli returns the information, in nats, of one request when failures
// occur in a share of them instead of the usual one.
func bernoulli(share float64) float64 {
	information := share * math.Log(share/errorShare)
	if share < 1 {
		information += (1 - share) * math.Log((1-share)/(1-errorShare))
	}
	return information
}

// Resolution of the service-time distribution, in buckets of log time.
const (
	limitBuckets   = 160
	limitPerOctave = 8
)

// timeShares returns the share of each bucket of healthy service times.
func timeShares(mean time.Duration) (shares [limitBuckets]float64) {
	clock := newServiceClock(mean, rand.New(rand.NewPCG(5, 6)))
	for range limitSamples {
		shares[timeBucket(clock.draw())] += 1.0 / limitSamples
	}
	for i := range shares {
		shares[i] = max(shares[i], 0.1/limitSamples)
	}
	return shares
}

func timeBucket(taken time.Duration) int {
	bucket := limitPerOctave * math.Log2(float64(taken)/float64(100*time.Microsecond))
	return min(limitBuckets-1, max(0, int(bucket)))
}

// slowLimit divides the information of one slow service by the time it takes.
func slowLimit(s *Scenario, fault *Fault, rate, needed float64) float64 {
	usual := timeShares(s.size.MeanTime)
	shift := int(math.Round(limitPerOctave * math.Log2(fault.Factor)))
	information := 0.0
	for i, share := range usual {
		slow := usual[max(0, i-shift)]
		mixed := fault.share()*slow + (1-fault.share())*share
		information += mixed * math.Log(mixed/share)
	}
	mean := s.size.MeanTime.Seconds() * (1 + fault.share()*(fault.Factor-1))
	served := min(rate, float64(s.size.Slots)/mean)
	return needed / (served * information)
}

// hungLimit returns the age at which as many running requests as there are
// slots prove the fault.
func hungLimit(s *Scenario, needed float64) float64 {
	usual := timeShares(s.size.MeanTime)
	longer := 0.0
	for i := limitBuckets - 1; i >= 0; i-- {
		longer += usual[i]
		if -math.Log(longer)*float64(s.size.Slots) < needed {
			return 100e-6 * math.Exp2(float64(i+1)/limitPerOctave)
		}
	}
	return 0
}
