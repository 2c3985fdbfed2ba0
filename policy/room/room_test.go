package room

import (
	"strconv"
	"testing"
	"time"
)

const runTime = 200 * time.Millisecond

// loadOf returns the load of a service with 100 slots.
func loadOf(inProgress float64) Load {
	return Load{Slots: 100, InProgress: inProgress, MeanRunTime: runTime}
}

func requestOf(priority int, customer string) Request {
	return Request{Priority: priority, Customer: customer, RunTime: runTime, Remaining: 4 * time.Second, Useful: time.Second}
}

// warm lets requests of two priorities arrive for a while, at this load.
func (s *Service) warm(inProgress float64, length time.Duration) time.Duration {
	now := time.Duration(0)
	for i := 0; now < length; i++ {
		now += 10 * time.Millisecond
		s.Decide(loadOf(inProgress), requestOf(i%2, ""), now)
	}
	return now
}

// share returns the share of requests like this one that is admitted.
func (s *Service) share(load Load, request Request, now time.Duration) float64 {
	const requests = 100
	admitted := 0
	for range requests {
		if decision := s.Decide(load, request, now); decision.Admitted() {
			admitted++
		}
	}
	return float64(admitted) / requests
}

func TestOrderUnderOverload(t *testing.T) {
	retry := requestOf(1, "")
	retry.IsRetry = true
	late := requestOf(0, "")
	late.Remaining = 300 * time.Millisecond
	for _, c := range []struct {
		name       string
		inProgress float64
		request    Request
		least      float64
		most       float64
	}{
		{"slots are free: all", 90, requestOf(1, ""), 1, 1},
		{"few wait: all", 110, requestOf(1, ""), 1, 1},
		{"many wait: the most urgent", 190, requestOf(0, ""), 1, 1},
		{"many wait: a part of the less urgent", 155, requestOf(1, ""), 0.1, 0.9},
		{"many wait: retries before new requests", 155, retry, 1, 1},
		{"most wait: none of the less urgent", 250, requestOf(1, ""), 0, 0},
		{"a request that cannot end in its time", 190, late, 0, 0},
		{"nothing more may wait", 420, requestOf(0, ""), 0, 0},
	} {
		s := &Service{}
		now := s.warm(150, 20*time.Second)
		if got := s.share(loadOf(c.inProgress), c.request, now); got < c.least || got > c.most {
			t.Errorf("%s: %.2f admitted, want %.2f to %.2f", c.name, got, c.least, c.most)
		}
	}
}

// TestBurstMayWaitLongerThanLastingOverload guards against refusals of a short burst, and
// against an overload that makes all responses late.
func TestBurstMayWaitLongerThanLastingOverload(t *testing.T) {
	burst, lasting := &Service{}, &Service{}
	if got := burst.share(loadOf(300), requestOf(1, ""), burst.warm(50, 20*time.Second)); got < 1 {
		t.Errorf("burst: %.2f admitted", got)
	}
	if got := lasting.share(loadOf(300), requestOf(1, ""), lasting.warm(300, 20*time.Second)); got > 0 {
		t.Errorf("lasting overload: %.2f admitted", got)
	}
}

// TestAccountsAreBoundedAndRemoved guards against memory that grows with the number of
// customers.
func TestAccountsAreBoundedAndRemoved(t *testing.T) {
	s := &Service{}
	for i := range 2 * maxAccounts {
		s.Decide(loadOf(50), requestOf(1, strconv.Itoa(i)), time.Duration(i)*time.Microsecond)
	}
	if got := len(s.customers.accounts); got != maxAccounts {
		t.Errorf("%d accounts, want %d", got, maxAccounts)
	}
	s.Decide(loadOf(50), requestOf(1, "new"), 2*idleTime)
	if got := len(s.customers.accounts); got != 1 {
		t.Errorf("%d accounts after a minute without requests, want 1", got)
	}
}

// TestRetryTimesAreWithinBounds guards against callers that are told to come back at once, or
// not for long.
func TestRetryTimesAreWithinBounds(t *testing.T) {
	for _, inProgress := range []float64{200, 400, 1000} {
		s := &Service{}
		now := s.warm(inProgress, 20*time.Second)
		decision := s.Decide(loadOf(inProgress), requestOf(1, ""), now)
		if decision.Admitted() || decision.RetryAfter < minRetryAfter || decision.RetryAfter > maxRetryAfter {
			t.Errorf("%v in progress: %+v", inProgress, decision)
		}
	}
}

func TestFullTargetHasNoPlaceUntilAnAttemptEnds(t *testing.T) {
	const slots = 2
	h := RefusedFull(4, slots, time.Second)
	for _, c := range []struct {
		name   string
		change func(h *Fullness)
		at     time.Duration
		want   bool
	}{
		{"at once", func(*Fullness) {}, time.Second, true},
		{"an attempt has ended", func(h *Fullness) { h.Ended(1) }, time.Second, false},
		{"another one has begun in its place", func(h *Fullness) { h.Ended(1); h.Begun(1) }, time.Second, true},
		{"its work is done", func(*Fullness) {}, time.Second + 4*runTime/slots, false},
	} {
		held := h
		c.change(&held)
		if got := held.IsFull(runTime, c.at); got != c.want {
			t.Errorf("%s: full is %v", c.name, got)
		}
	}
	if never := (Fullness{}); never.IsFull(runTime, time.Second) {
		t.Error("a target that has not refused is full")
	}
}

// BenchmarkDecide measures one decision with 38,000 customers under overload.
func BenchmarkDecide(b *testing.B) {
	names := make([]string, 38_000)
	for i := range names {
		names[i] = "customer-" + strconv.Itoa(i)
	}
	s := &Service{}
	now := time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 200 * time.Microsecond
		s.Decide(loadOf(150), requestOf(i%3, names[i*7919%len(names)]), now)
	}
}
