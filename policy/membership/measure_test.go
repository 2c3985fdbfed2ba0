package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkDetection measures how long any instance still advertises a dead VM.
func BenchmarkDetection(b *testing.B) {
	for _, size := range []struct {
		count int
		loss  float64
	}{{12, 0}, {36, 0}, {36, 0.02}, {36, 0.2}, {100, 0}, {200, 0}} {
		b.Run(fmt.Sprintf("instances=%d/loss=%.2f", size.count, size.loss), func(b *testing.B) {
			var last []time.Duration
			for i := range b.N {
				last = append(last, detect(b, uint64(i), size.count, size.loss, max(20, 400/size.count))...)
			}
			slices.Sort(last)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(last[len(last)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(last[len(last)*99/100].Seconds()*1000, "p99-ms")
			b.ReportMetric(last[len(last)-1].Seconds()*1000, "max-ms")
			b.ReportMetric(float64(len(last)), "deaths")
		})
	}
}

// detect stops one VM after another and returns how long it took each time until
// no survivor advertised it. Each VM is replaced before the next one stops.
func detect(b *testing.B, seed uint64, count int, loss float64, deaths int) []time.Duration {
	s := newSimulation(seed)
	fleet := convergedFleet(b, s, count)
	s.loss = loss
	var times []time.Duration
	for i := range deaths {
		victim := i%(count-1) + 1
		fleet[victim].stopped = true
		died := s.now
		s.run(time.Duration(s.random.Int64N(int64(time.Second))))
		for slices.ContainsFunc(fleet, func(in *instance) bool { return !in.stopped && s.advertises(in, vmName(victim)) }) {
			s.run(10 * time.Millisecond)
		}
		times = append(times, s.now-died)
		fleet[victim] = s.start(victim)
		s.run(5 * time.Second)
	}
	return times
}

// BenchmarkFalseSuspicion counts suspicions and removals of live members.
func BenchmarkFalseSuspicion(b *testing.B) {
	for _, loss := range []float64{0.02, 0.1, 0.2, 0.3} {
		b.Run(fmt.Sprintf("instances=36/loss=%.2f", loss), func(b *testing.B) {
			var raised, dead, hours float64
			for i := range b.N {
				s := newSimulation(uint64(i))
				convergedFleet(b, s, 36)
				s.loss = loss
				s.onEvent = func(_ *instance, e Event) {
					if e.Kind == EventSuspected && e.RaisedHere {
						raised++
					}
					if e.Kind == EventDead {
						dead++
					}
				}
				s.run(time.Hour)
				hours++
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(raised/hours, "suspicions/h")
			b.ReportMetric(dead/hours, "removals/h")
		})
	}
}

// BenchmarkTick measures the CPU time that an instance's state machine takes per
// second of virtual time, and the messages that it receives.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{12, 36, 100, 200, 840} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			s := newSimulation(1)
			convergedFleet(b, s, count)
			s.delivered = 0
			begin := s.now
			b.ResetTimer()
			for range b.N {
				s.run(time.Second)
			}
			b.StopTimer()
			seconds := (s.now - begin).Seconds()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(count), "us/instance-s")
			b.ReportMetric(float64(s.delivered)/seconds/float64(count), "messages/instance-s")
		})
	}
}

// BenchmarkZoneOutage measures how long any survivor still advertises a VM of a
// zone whose VMs all died at once, and how many survivors are suspected meanwhile.
func BenchmarkZoneOutage(b *testing.B) {
	for _, count := range []int{36, 200} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			var times []time.Duration
			suspicions := 0
			for i := range b.N {
				elapsed, suspected := zoneOutage(b, uint64(i), count)
				times = append(times, elapsed)
				suspicions += suspected
			}
			slices.Sort(times)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(times[len(times)/2].Seconds()*1000, "p50-ms")
			b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms")
			b.ReportMetric(float64(suspicions), "survivors-suspected")
		})
	}
}

func zoneOutage(b *testing.B, seed uint64, count int) (elapsed time.Duration, suspicions int) {
	s := newSimulation(seed)
	fleet := convergedFleet(b, s, count)
	isGone := func(in *instance) bool { return in.stopped }
	s.onEvent = func(at *instance, e Event) {
		if e.RaisedHere && e.Kind == EventSuspected && !s.instances[e.VM].stopped {
			suspicions++
		}
	}
	for i := 1; i < count; i += 3 {
		fleet[i].stopped = true
	}
	died := s.now
	survivors := slices.DeleteFunc(slices.Clone(fleet), isGone)
	for slices.ContainsFunc(survivors, func(in *instance) bool { return s.advertisedCount(in) > len(survivors) }) {
		s.run(20 * time.Millisecond)
	}
	return s.now - died, suspicions
}
