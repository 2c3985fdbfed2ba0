package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAttempt measures the start and end of one attempt, including the news.
func BenchmarkAttempt(b *testing.B) {
	for _, count := range []int{20, 90, 360} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			tracker := New(Config{VM: "vm0", Zone: "z0", Zones: []string{"z0", "z1", "z2"}, VMs: 34,
				FloorSlots: count, FalsePerTargetMonth: 1, Random: rand.New(rand.NewPCG(1, 1))})
			var targets []Target
			for i := range count {
				targets = append(targets, Target{Name: fmt.Sprintf("t%03d", i), Slots: testSlots})
			}
			tracker.Configure(0, targets)
			random := rand.New(rand.NewPCG(2, 2))
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Microsecond
				attempt := tracker.StartAttempt(now, random.IntN(count))
				elapsed := time.Duration(20+random.IntN(30)) * time.Millisecond
				tracker.EndAttempt(now, attempt, Succeeded, elapsed)
				tracker.NextTrial(now)
				tracker.TakeNews(now)
			}
		})
	}
}
