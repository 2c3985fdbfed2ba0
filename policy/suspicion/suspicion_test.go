package suspicion

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestOneFailureMakesATargetSuspectAndSuccessesClearIt(t *testing.T) {
	f := NewFaultEstimate(FailingDurations, 0)
	f.Observe(FailureNats(ResultFailed), time.Second)
	if p := f.Probability(time.Second); p < 0.6 {
		t.Fatalf("probability %.2f after one failure", p)
	}
	for range 5 {
		f.Observe(FailureNats(ResultServed), time.Second)
	}
	if p := f.Probability(time.Second); p > 0.2 {
		t.Errorf("probability %.2f after five successes", p)
	}
}

func TestSuspicionDecaysWithoutEvidence(t *testing.T) {
	f := NewFaultEstimate(FailingDurations, 0)
	for range 3 {
		f.Observe(FailureNats(ResultFailed), 0)
	}
	if p := f.Probability(20 * time.Second); p > 0.15 {
		t.Errorf("probability %.2f after 20 s without evidence", p)
	}
}

func TestNewFaultIsDetectedAtOnceAfterManySuccesses(t *testing.T) {
	f := NewFaultEstimate(FailingDurations, 0)
	for i := range 1000 {
		f.Observe(FailureNats(ResultServed), time.Duration(i)*10*time.Millisecond)
	}
	now := 10 * time.Second
	f.Observe(FailureNats(ResultFailed), now)
	f.Observe(FailureNats(ResultFailed), now)
	if p := f.Probability(now); p < 0.7 {
		t.Errorf("probability %.2f after two failures", p)
	}
}

// attemptsUntilSuspect returns the number of attempts until a target that fails
// the given share of them is suspect.
func attemptsUntilSuspect(random *rand.Rand, failShare float64) int {
	f := NewFaultEstimate(FailingDurations, 0)
	for i := 1; ; i++ {
		now := time.Duration(i) * 100 * time.Millisecond
		result := ResultServed
		if random.Float64() < failShare {
			result = ResultFailed
		}
		f.Observe(FailureNats(result), now)
		if f.Probability(now) > 0.5 {
			return i
		}
	}
}

func TestGrayTargetIsSuspectWithinAFewAttempts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	total := 0
	const runs = 500
	for range runs {
		total += attemptsUntilSuspect(random, 0.5)
	}
	if mean := float64(total) / runs; mean > 3.5 {
		t.Errorf("suspect after %.1f attempts on average", mean)
	}
}

func TestSlowTargetIsDistinguishedFromAHealthyOne(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var r Reference
	duration := func(factor float64) time.Duration {
		return time.Duration(factor * float64(150*time.Millisecond) * (0.5 + random.Float64()))
	}
	for range 100 {
		r.Add(duration(1))
	}
	slow, healthy := NewFaultEstimate(SlowDurations, 0), NewFaultEstimate(SlowDurations, 0)
	for range 4 {
		slow.Observe(r.SlowNats(duration(5)), 0)
		healthy.Observe(r.SlowNats(duration(1)), 0)
	}
	if p, q := slow.Probability(0), healthy.Probability(0); p < 0.8 || q > 0.1 {
		t.Errorf("probability of slowness: slow target %.2f, healthy target %.2f", p, q)
	}
	if overdue := r.Overdue(0); overdue < 250*time.Millisecond || overdue > time.Second {
		t.Errorf("overdue after %v", overdue)
	}
}

// TestOccasionalLongResponsesDoNotMakeHealthyTargetSuspect guards against false
// suspicion of healthy targets under work whose duration varies a lot: one
// response in a hundred takes five times as long.
func TestOccasionalLongResponsesDoNotMakeHealthyTargetSuspect(t *testing.T) {
	const (
		attempts = 20_000
		interval = 250 * time.Millisecond
		// maxSuspectShare is the share of attempts that may find the target suspect.
		maxSuspectShare = 0.005
	)
	random := rand.New(rand.NewPCG(5, 6))
	duration := func() time.Duration {
		seconds := 0.15 * math.Exp(0.6*random.NormFloat64())
		if random.IntN(100) == 0 {
			seconds *= 5
		}
		return time.Duration(seconds * float64(time.Second))
	}
	var r Reference
	for range 100 {
		r.Add(duration())
	}
	healthy, suspectCount := NewFaultEstimate(SlowDurations, 0), 0
	for i := range attempts {
		now := time.Duration(i) * interval
		if healthy.Probability(now) > 0.3 {
			suspectCount++
		}
		elapsed := duration()
		if limit := r.Overdue(0); elapsed > limit {
			healthy.Observe(OverdueNats, now)
		} else {
			healthy.Observe(r.SlowNats(elapsed), now)
			r.Add(elapsed)
		}
	}
	if share := float64(suspectCount) / attempts; share > maxSuspectShare {
		t.Errorf("suspect at a share of %.4f of the attempts", share)
	}
}

func TestAttemptThatWaitsForASlotIsOverdueLater(t *testing.T) {
	var r Reference
	if r.Overdue(time.Second) != 0 {
		t.Error("an attempt is overdue before there are enough samples")
	}
	for range 100 {
		r.Add(100 * time.Millisecond)
	}
	const wait = 300 * time.Millisecond
	if free, waiting := r.Overdue(0), r.Overdue(wait); waiting < free+wait {
		t.Errorf("overdue after %v without a wait; with a wait of %v after %v", free, wait, waiting)
	}
}

// TestServiceTimeIsLearnedWhileAllSlotsAreBusy guards against an unknown service
// time after a start with a burst: every attempt waits for a slot, yet the
// service time must be learned, since the expected wait follows from it.
func TestServiceTimeIsLearnedWhileAllSlotsAreBusy(t *testing.T) {
	const serviceTime, waitInServiceTimes = 200 * time.Millisecond, 1.5
	var r Reference
	for range 2 * minSamples {
		r.AddWaited(time.Duration((1+waitInServiceTimes)*float64(serviceTime)), 1/(1+waitInServiceTimes))
	}
	if mean := r.MeanServiceTime(time.Hour); mean < serviceTime*9/10 || mean > serviceTime*11/10 {
		t.Errorf("service time of %v learned as %v", serviceTime, mean)
	}
	if r.HasEnoughSamples() || r.SlowNats(time.Second) != 0 {
		t.Error("durations that include a wait entered the reference distribution")
	}
}
