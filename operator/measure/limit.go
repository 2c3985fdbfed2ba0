package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// serviceTimeSamples is the number of draws that estimate the distribution of service times.
const serviceTimeSamples = 200_000

// informationLimit returns the lower bound of the mean detection delay of any
// test with the service's rate of false ejections (Lorden's bound): the log of
// the mean number of observations between two false ejections, divided by the
// information, in nats per second, that the requests give about the scenario's
// fault. It is zero for scenarios to whose first fault the bound does not apply.
func informationLimit(s *Scenario) document.Duration {
	if len(s.Faults) == 0 || s.Faults[0].Fraction > 0 || s.Faults[0].Period > 0 {
		return 0
	}
	rate := s.load * float64(s.size.Slots) / s.size.MeanTime.Seconds()
	requiredNats := math.Log(rate * month.Seconds() / s.size.FalseEjectionsPerTargetMonth)
	fault := &s.Faults[0]
	seconds := 0.0
	switch fault.Kind {
	case FaultDead, FaultWrong:
		seconds = requiredNats / (rate * errorInformation(1))
	case FaultErrors:
		seconds = requiredNats / (rate * errorInformation(fault.share()))
	case FaultSlow:
		seconds = slowLimit(s, fault, rate, requiredNats)
	case FaultHung:
		seconds = hungLimit(s, requiredNats)
	}
	return document.Duration(seconds * float64(time.Second))
}

// errorInformation returns the information, in nats, of one request when the
// given share of requests fails instead of errorShare: the Kullback-Leibler
// divergence of the two Bernoulli distributions.
func errorInformation(share float64) float64 {
	information := share * math.Log(share/errorShare)
	if share < 1 {
		information += (1 - share) * math.Log((1-share)/(1-errorShare))
	}
	return information
}

// Resolution of the service-time distribution, in buckets of logarithmic time.
const (
	timeBuckets      = 160
	bucketsPerOctave = 8
)

// bucketShares returns the share of a healthy target's service times in each
// bucket. Empty buckets get a small share, so that its logarithm is finite.
func bucketShares(mean time.Duration) (shares [timeBuckets]float64) {
	serviceTimes := newServiceTimeSource(mean, rand.New(rand.NewPCG(5, 6)))
	for range serviceTimeSamples {
		shares[timeBucket(serviceTimes.draw())] += 1.0 / serviceTimeSamples
	}
	for i := range shares {
		shares[i] = max(shares[i], 0.1/serviceTimeSamples)
	}
	return shares
}

// timeBucket returns the bucket of a service time; bucket 0 begins at 100 µs.
func timeBucket(serviceTime time.Duration) int {
	bucket := bucketsPerOctave * math.Log2(float64(serviceTime)/float64(100*time.Microsecond))
	return min(timeBuckets-1, max(0, int(bucket)))
}

// slowLimit returns the information limit of a slow target, in seconds: the
// required information divided by the information of one served request and by
// the rate at which the slow target serves requests.
func slowLimit(s *Scenario, fault *Fault, rate, requiredNats float64) float64 {
	healthy := bucketShares(s.size.MeanTime)
	shift := int(math.Round(bucketsPerOctave * math.Log2(fault.Factor)))
	information := 0.0
	for i, share := range healthy {
		slow := healthy[max(0, i-shift)]
		mixed := fault.share()*slow + (1-fault.share())*share
		information += mixed * math.Log(mixed/share)
	}
	mean := s.size.MeanTime.Seconds() * (1 + fault.share()*(fault.Factor-1))
	served := min(rate, float64(s.size.Slots)/mean)
	return requiredNats / (served * information)
}

// hungLimit returns the information limit of a hung target, in seconds: the age
// at which one unanswered request in each slot gives the required information.
func hungLimit(s *Scenario, requiredNats float64) float64 {
	healthy := bucketShares(s.size.MeanTime)
	longerShare := 0.0
	for i := timeBuckets - 1; i >= 0; i-- {
		longerShare += healthy[i]
		if -math.Log(longerShare)*float64(s.size.Slots) < requiredNats {
			return 100e-6 * math.Exp2(float64(i+1)/bucketsPerOctave)
		}
	}
	return 0
}
