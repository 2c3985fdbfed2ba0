package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

var start = time.Unix(1000, 0)

var limits = Limits{Rate: 10, Burst: 5, Concurrency: 4, Queue: 2, RetryRatio: 0.2}

func TestBucketEnforcesRateAndBurst(t *testing.T) {
	var b Bucket
	allowed := 0
	for ms := range 10000 {
		if _, ok := b.Take(start.Add(time.Duration(ms)*time.Millisecond), 10, 5); ok {
			allowed++
		}
	}
	if allowed < 104 || allowed > 105 {
		t.Fatalf("took %d tokens in 10 s at 10/s and burst 5, want 104 or 105", allowed)
	}
	var slow Bucket
	slow.Take(start, 0.5, 1)
	wait, ok := slow.Take(start, 0.5, 1)
	if ok || wait != 2*time.Second {
		t.Fatalf("got wait %v, %v", wait, ok)
	}
}

func TestBucketKeepsTokensAcrossReconfiguration(t *testing.T) {
	var b Bucket
	for range 5 {
		b.Take(start, 10, 5)
	}
	if _, ok := b.Take(start, 1000, 500); ok {
		t.Fatal("a change of limits refilled the bucket")
	}
}

func TestAdmitReasons(t *testing.T) {
	c := NewCustomers()
	for range 4 {
		if d := c.Admit(start, "a", limits, 0); !d.Admitted {
			t.Fatalf("refused: %+v", d)
		}
	}
	if d := c.Admit(start, "a", limits, 0); d.Reason != outcome.ReasonConcurrencyLimit {
		t.Fatalf("got %+v", d)
	}
	c.Finish("a")
	if d := c.Admit(start, "a", limits, 2); d.Reason != outcome.ReasonQueueFull {
		t.Fatalf("got %+v", d)
	}
	if d := c.Admit(start, "a", limits, 0); !d.Admitted {
		t.Fatalf("got %+v", d)
	}
	c.Finish("a")
	d := c.Admit(start, "a", limits, 0)
	if d.Reason != outcome.ReasonRateLimit || d.RetryAfter != 100*time.Millisecond {
		t.Fatalf("got %+v", d)
	}
	if d := c.Admit(start, "b", limits, 0); !d.Admitted {
		t.Fatalf("another customer was refused: %+v", d)
	}
}

func TestRetriesSpendOnlyTheCustomersBudget(t *testing.T) {
	c := NewCustomers()
	service := retry.NewBudget(10)
	if got := c.AdmitRetry(start, "a", limits, &service); got != retry.Allowed {
		t.Fatal(got)
	}
	if got := c.AdmitRetry(start, "a", limits, &service); got != retry.CustomerBudget {
		t.Fatal(got)
	}
	if got := c.AdmitRetry(start, "b", limits, &service); got != retry.Allowed {
		t.Fatal(got)
	}
}

func TestIdleAccountsAreEvicted(t *testing.T) {
	c := NewCustomers()
	for n := range 38000 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		name := fmt.Sprint(n)
		c.Admit(now, name, limits, 0)
		c.Finish(name)
	}
	if c.Len() > 700 {
		t.Fatalf("%d accounts kept, want at most 700 with 600 active in the last minute", c.Len())
	}
}

func TestAccountWithPartlyFullBucketIsKept(t *testing.T) {
	c := NewCustomers()
	slow := Limits{Rate: 0.001, Burst: 1, Concurrency: 1}
	c.Admit(start, "slow", slow, 0)
	c.Finish("slow")
	for n := range 100 {
		c.Admit(start.Add(2*time.Minute), fmt.Sprint(n), limits, 0)
	}
	if d := c.Admit(start.Add(3*time.Minute), "slow", slow, 0); d.Reason != outcome.ReasonRateLimit {
		t.Fatalf("an account was evicted before its bucket was full: %+v", d)
	}
}

func TestDrainEstimatorEstimatesWait(t *testing.T) {
	var d DrainEstimator
	if d.EstimateWait(100) != 0 {
		t.Fatal("an estimator without measurements estimates a wait")
	}
	d.QueueStarted(start)
	for n := 1; n <= 100; n++ {
		d.ItemLeft(start.Add(time.Duration(n)*10*time.Millisecond), true)
	}
	if wait := d.EstimateWait(10); wait < 99*time.Millisecond || wait > 101*time.Millisecond {
		t.Fatalf("got %v", wait)
	}
}

func TestLimitShare(t *testing.T) {
	cases := []struct {
		name    string
		vms     int
		ownRate float64
		others  []UsageReport
		want    float64
	}{
		{"alone", 1, 5, nil, 1},
		{"no reports", 4, 5, nil, 0.25},
		{"all callers here", 4, 5, []UsageReport{{}, {}, {}}, 0.0625 + 0.75},
		{"all callers elsewhere", 4, 0, []UsageReport{{Rate: 5}, {}, {}}, 0.0625},
		{"even usage", 2, 5, []UsageReport{{Rate: 5}}, 0.5},
		{"stale report", 2, 5, []UsageReport{{Rate: 5, Age: time.Minute}}, 0.5},
	}
	for _, c := range cases {
		if got := LimitShare(c.vms, c.ownRate, c.others); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestLimitSharesSumToAtMostOneDuringPartitions(t *testing.T) {
	rates := []float64{9, 0.5, 3, 0}
	for cut := range 1 << 4 {
		sum := 0.0
		for vm := range rates {
			var reports []UsageReport
			for other := range rates {
				if other != vm && cut>>other&1 == cut>>vm&1 {
					reports = append(reports, UsageReport{Rate: rates[other]})
				}
			}
			sum += LimitShare(len(rates), rates[vm], reports)
		}
		if sum > 1+1e-9 {
			t.Fatalf("partition %04b: shares sum to %v", cut, sum)
		}
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, count := range []int{30, 3800, 38000} {
		b.Run(fmt.Sprint("customers=", count), func(b *testing.B) {
			c := NewCustomers()
			names := make([]string, count)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
			}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				name := names[n%count]
				n++
				c.Admit(start.Add(time.Duration(n)*time.Microsecond), name, limits, 0)
				c.Finish(name)
			}
		})
	}
}
