package room_test

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// manyCustomers divides the load among 79 customers, a few of them large.
func manyCustomers(m model, load float64) model {
	for i, share := range zipf(79) {
		m.sources = append(m.sources, source{customer: "c" + strconv.Itoa(i), priority: 1, rate: steady(share * load * m.capacity())})
	}
	return m
}

// surging makes one customer send factor times its usual rate for a time.
func surging(m model, customer int, factor float64, from, until time.Duration) model {
	usual := m.sources[customer].rate
	m.sources = slices.Clone(m.sources)
	m.sources[customer].rate = func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor * usual(at)
		}
		return usual(at)
	}
	return m
}

// othersOf returns the results together of all customers but one.
func othersOf(r *run, customer int) result {
	others := result{}
	for i, result := range r.results {
		if i != customer {
			others.add(*result)
		}
	}
	return others
}

// add adds the counts of another result.
func (r *result) add(other result) {
	r.arrived += other.arrived
	r.refused += other.refused
	r.inTime += other.inTime
	r.latencies = append(r.latencies, other.latencies...)
}

// TestSurgeOfOneCustomerDoesNotDelayOthers guards against a customer that sends 7.5 times its
// usual rate and makes the others wait. The surges last 6 s, as on deployment A, and a minute;
// the customers have 9, 4 and 2% of the load.
func TestSurgeOfOneCustomerDoesNotDelayOthers(t *testing.T) {
	const maxRatio, load, factor = 1.1, 0.7, 7.5
	for _, length := range []time.Duration{6 * time.Second, time.Minute} {
		for _, customer := range []int{0, 2, 10} {
			var calm, today, surge result
			for seed := range uint64(3) {
				usual := manyCustomers(serviceTwo(true, seed), load)
				usual.warmUp = 30 * time.Second
				usual.length = usual.warmUp + length
				after := surging(usual, customer, factor, usual.warmUp, usual.length)
				before := after
				before.usesRoom = false
				calm.add(othersOf(usual.play(), customer))
				today.add(othersOf(before.play(), customer))
				surge.add(othersOf(after.play(), customer))
			}
			ratio := p99(surge.latencies).Seconds() / p99(calm.latencies).Seconds()
			t.Logf("%v, customer %d: p99 of the others %v, usual %v (%.2f), by today's rule %v; served %.4f, by today's rule %.4f", length, customer,
				p99(surge.latencies), p99(calm.latencies), ratio, p99(today.latencies), surge.servedShare(), today.servedShare())
			if ratio > maxRatio {
				t.Errorf("%v, customer %d: p99 of the others is %.2f times the usual one", length, customer, ratio)
			}
		}
	}
}

// TestWorstTenthOfCustomersIsServedAboutAsTheMean guards against customers that lose more than
// others while all send as usual, and against customers that are starved.
func TestWorstTenthOfCustomersIsServedAboutAsTheMean(t *testing.T) {
	const maxBelowMean = 0.03
	for _, load := range []float64{0.85, 1.2, 1.5, 2, 3} {
		m := manyCustomers(serviceTwo(true, 4), load)
		// The customers have sent as usual before the overload began.
		for i := range m.sources {
			overload := m.sources[i].rate
			m.sources[i].rate = func(at time.Duration) float64 {
				if at < m.warmUp {
					return overload(at) * 0.6 / load
				}
				return overload(at)
			}
		}
		m.length = m.warmUp + 4*time.Minute
		shares := []float64(nil)
		mean := 0.0
		for _, result := range m.play().results {
			shares = append(shares, result.servedShare())
			mean += result.servedShare() / float64(len(m.sources))
		}
		slices.Sort(shares)
		worst := 0.0
		tenth := len(shares) / 10
		for _, share := range shares[:tenth] {
			worst += share / float64(tenth)
		}
		t.Logf("load %.2f: served in the mean %.3f, worst tenth %.3f, least %.3f", load, mean, worst, shares[0])
		if worst < mean-maxBelowMean {
			t.Errorf("load %.2f: the worst tenth is served %.3f, the mean %.3f", load, worst, mean)
		}
		if shares[0] <= 0 {
			t.Errorf("load %.2f: a customer is starved", load)
		}
	}
}
