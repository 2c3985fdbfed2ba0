package room_test

import (
	"math"
	"time"
)

// steady returns a constant rate.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// bursts returns a rate that is factor times as high for length at the end of each period.
func bursts(rate, factor float64, length, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period >= period-length {
			return factor * rate
		}
		return rate
	}
}

// serviceTwo is a service like the second one of deployment A before six primary VMs.
func serviceTwo(usesRoom bool, seed uint64) model {
	return model{
		vms: 6, targets: 20, slots: 4, queue: 24, meanRun: 270 * time.Millisecond, objective: time.Second, timeout: 4 * time.Second,
		minDelay: 15 * time.Millisecond, maxDelay: 200 * time.Millisecond, length: 90 * time.Second, warmUp: 20 * time.Second,
		usesRoom: usesRoom, seed: seed,
	}
}

// zipf returns the shares of count customers; the largest has 2 to 3 times the share of the
// third.
func zipf(count int) []float64 {
	shares, sum := make([]float64, count), 0.0
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+1), 0.7)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}
