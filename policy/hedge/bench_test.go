package hedge

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkRequest measures what hedging costs a request that is not hedged.
func BenchmarkRequest(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	settings := Settings{Ratio: 0.02, MinDelay: 50 * time.Millisecond}
	var budget Budget
	var durations Durations
	for range durationsKept {
		durations.Add(time.Duration(random.ExpFloat64() * float64(200*time.Millisecond)))
	}
	b.ReportAllocs()
	now := time.Duration(0)
	for b.Loop() {
		now += 5 * time.Millisecond
		budget.Earn(settings.Ratio, now)
		_, _ = Due(settings, &durations, Moment{Remaining: time.Second})
		durations.Add(time.Duration(random.ExpFloat64() * float64(200*time.Millisecond)))
	}
}
