package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// naiveDigest sums the digest over all evidence.
func naiveDigest(t *Table, now time.Duration) uint64 {
	sum := uint64(1)
	for _, evidence := range t.Evidence(now) {
		for _, crash := range evidence.Crashes {
			sum += crash.hash(evidence.Fingerprint)
		}
		if evidence.Lifted {
			sum += liftHash(evidence.Fingerprint)
		}
	}
	return max(sum, 1)
}

// TestDigestFollowsAllChanges guards against a digest that misses a change or an expiry: VMs
// that know the same would then exchange all evidence again and again.
func TestDigestFollowsAllChanges(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		table, now := NewTable(), time.Minute
		for step := range 1500 {
			now += time.Duration(random.ExpFloat64() * float64(400*time.Millisecond))
			if random.IntN(100) == 0 {
				now += time.Duration(random.IntN(200)) * time.Second
			}
			request := Identify(Request{Caller: fmt.Sprint(random.IntN(3)), Resource: []string{fmt.Sprint(random.IntN(12))}, Query: fmt.Sprint(random.IntN(2))})
			switch random.IntN(8) {
			case 0:
				table.RecordResponse(request, now)
			case 1:
				table.Lift(request.Exact(), now)
			case 2:
				table.AddRemoteQuarantine(request.Exact(), "s", time.Duration(random.IntN(100))*time.Second, time.Second, now)
			case 3:
				table.Merge(Evidence{Fingerprint: request.Exact(), Request: request, Answered: true, AnsweredAt: now - time.Second}, now)
			default:
				kind := random.IntN(3)
				table.RecordCrash(request, "s", Crash{Target: fmt.Sprint(random.IntN(4)), Incarnation: int64(random.IntN(2)), At: now, Presumed: kind == 1, Survived: kind == 2}, now)
			}
			// The digest comes first: it must not depend on the walk over all evidence.
			if got, want := table.Digest(now), naiveDigest(table, now); got != want {
				t.Fatalf("seed %d, step %d: digest %x, want %x", seed, step, got, want)
			}
		}
	}
}

// BenchmarkDigest measures the digest of a table that is full of suspects; each datagram asks for it.
func BenchmarkDigest(b *testing.B) {
	table := NewTable()
	for i := range MaxSuspects / formsPerRequest {
		table.RecordCrash(Identify(Request{Caller: fmt.Sprint(i), Resource: []string{fmt.Sprint(i)}}), "s", Crash{Target: "t", Incarnation: 1, At: time.Second}, time.Second)
	}
	for b.Loop() {
		table.Digest(2 * time.Second)
	}
}
