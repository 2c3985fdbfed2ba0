package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// usualTime is how long targets usually take in the tests of hedging.
	usualTime = 10 * time.Millisecond
	// usualRequests is the number of requests after which the route is measured and the
	// budgets allow a hedge.
	usualRequests = 60
)

// script gives each arriving request the next behavior, whichever target it reaches; without one
// the targets serve after usualTime.
type script struct {
	mu   sync.Mutex
	next []behavior
	// left counts the requests whose handler saw that they were cancelled.
	left int
}

func (s *script) handle(out http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	handle := after(usualTime, serves)
	if len(s.next) > 0 {
		handle, s.next = s.next[0], s.next[1:]
	}
	s.mu.Unlock()
	handle(out, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Context().Err() != nil {
		s.left++
	}
}

func (s *script) cancelled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// after returns a behavior that begins after a time, unless the request is cancelled before.
func after(wait time.Duration, handle behavior) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		select {
		case <-time.After(wait):
			handle(out, r)
		case <-r.Context().Done():
		}
	}
}

// named returns a behavior that serves with a text after a time.
func named(wait time.Duration, text string) behavior {
	return after(wait, func(out http.ResponseWriter, r *http.Request) {
		out.Header().Set("Id", r.Header.Get("Id"))
		out.Header().Set("Seal", "sealed")
		_, _ = io.WriteString(out, text)
	})
}

// hedgeHarness is a harness with targets that follow a script, after usualRequests.
type hedgeHarness struct {
	*harness
	script *script
	before int
}

// withHedging runs a test with three targets whose route is measured; ratio is the share of
// requests that may be hedged. The next requests to arrive get the behaviors.
func withHedging(t *testing.T, ratio float64, next []behavior, test func(h *hedgeHarness)) {
	t.Helper()
	s := &script{}
	withHarness(t, []behavior{s.handle, s.handle, s.handle}, func(h *harness) {
		h.targets.SetHedging(hedge.Settings{Ratio: ratio, MinDelay: 3 * usualTime / 2})
		for range usualRequests {
			h.send(http.MethodGet, safePath+"usual", "")
		}
		if got := h.total(); got != usualRequests {
			t.Fatalf("%d attempts of %d usual requests", got, usualRequests)
		}
		s.next = next
		test(&hedgeHarness{harness: h, script: s, before: usualRequests})
	})
}

// attempts returns the number of attempts since the usual ones.
func (h *hedgeHarness) attempts() int { return h.total() - h.before }

// timed sends a request and returns its response and duration.
func (h *hedgeHarness) timed(method, path string) (*httptest.ResponseRecorder, time.Duration) {
	start := time.Now()
	got := h.send(method, path, "")
	return got, time.Since(start)
}

// TestRequestThatHangsAtOneTargetIsServedByAnother guards against requests that may run twice and
// end as a timeout after a single attempt, at a target that hangs or answers 504 at the limit.
func TestRequestThatHangsAtOneTargetIsServedByAnother(t *testing.T) {
	for name, first := range map[string]behavior{
		"hangs":                       hangs,
		"answers 504 at the limit":    after(routeTimeout, failsWith(http.StatusGatewayTimeout)),
		"slow":                        after(10*usualTime, serves),
		"closes the connection later": after(5*usualTime, resets),
	} {
		withHedging(t, 0.2, []behavior{first}, func(h *hedgeHarness) {
			got, took := h.timed(http.MethodGet, safePath+"1")
			if got.Code != http.StatusOK || took > 4*usualTime || h.attempts() != 2 {
				t.Errorf("%s: status %d after %v and %d attempts", name, got.Code, took, h.attempts())
			}
			time.Sleep(time.Millisecond)
			if h.script.cancelled() != 1 {
				t.Errorf("%s: the first attempt was not cancelled", name)
			}
		})
	}
}

// TestNothingIsHedgedWithoutRatio guards against second attempts that no setting asks for.
func TestNothingIsHedgedWithoutRatio(t *testing.T) {
	withHedging(t, 0, []behavior{hangs}, func(h *hedgeHarness) {
		got, took := h.timed(http.MethodGet, safePath+"1")
		if got.Code != http.StatusGatewayTimeout || took < routeTimeout || h.attempts() != 1 {
			t.Errorf("status %d after %v and %d attempts", got.Code, took, h.attempts())
		}
	})
}

// TestRequestsThatAreNotHedged guards against second attempts of requests that must not run
// twice, have no attempt left, or may crash targets.
func TestRequestsThatAreNotHedged(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		change func(h *hedgeHarness)
	}{
		"must not run twice": {oncePath, func(*hedgeHarness) {}},
		"crashed a target":   {safePath, func(h *hedgeHarness) { h.crashes.suspected = true }},
		"one attempt allowed": {safePath, func(h *hedgeHarness) {
			route, _ := h.table.Match(host, safePath)
			route.MaxAttempts = 1
		}},
	} {
		slow := after(10*usualTime, serves)
		withHedging(t, 0.2, []behavior{slow}, func(h *hedgeHarness) {
			for range usualRequests { // the other route is measured, too
				h.script.next = nil
				h.send(http.MethodPost, oncePath+"usual", "")
			}
			h.script.next, h.before = []behavior{slow}, h.total()
			c.change(h)
			if got, _ := h.timed(http.MethodGet, c.path+"1"); got.Code != http.StatusOK || h.attempts() != 1 {
				t.Errorf("%s: status %d, %d attempts", name, got.Code, h.attempts())
			}
		})
	}
}

// TestForwardedRequestIsHedgedWithinItsAttempts guards against more attempts over two VMs than the
// route allows, and against forwarded requests without hedges.
func TestForwardedRequestIsHedgedWithinItsAttempts(t *testing.T) {
	for sent, want := range map[uint32]int{0: 2, 1: 1} {
		withHedging(t, 0.2, []behavior{after(10*usualTime, serves)}, func(h *hedgeHarness) {
			h.gateway.serveForwarded(httptest.NewRecorder(), forwardedRequest(safePath+"1"), &primroseloomv1.ForwardHead{DeadlineMs: 500, SentAttempts: sent})
			if h.attempts() != want {
				t.Errorf("%d attempts beside %d of the other VM, want %d", h.attempts(), sent, want)
			}
		})
	}
}

// TestFirstCompleteResponseReachesTheCaller guards against the response of the other attempt, in
// part or in whole, and against a failure in place of a response that may still come.
func TestFirstCompleteResponseReachesTheCaller(t *testing.T) {
	long := string(make([]byte, maxBufferedResponseBytes+1000))
	failure := failsWith(http.StatusInternalServerError)
	for name, c := range map[string]struct {
		first, second behavior
		status        int
		body          string
	}{
		"second wins":                      {named(20*usualTime, "first"), named(usualTime, "second"), 200, "second"},
		"first wins":                       {named(3*usualTime, "first"), named(20*usualTime, "second"), 200, "first"},
		"both at once":                     {named(2*usualTime, "same"), named(usualTime, "same"), 200, "same"},
		"second wins with a long response": {named(20*usualTime, "first"), named(usualTime, long), 200, long},
		"first wins with a long response":  {named(3*usualTime, long), named(20*usualTime, "second"), 200, long},
		"both long":                        {named(3*usualTime, long), named(usualTime, long), 200, long},
		"first fails, second serves":       {after(2*usualTime, failure), named(10*usualTime, "second"), 200, "second"},
		"first resets, second serves":      {after(2*usualTime, resets), named(10*usualTime, "second"), 200, "second"},
		"second fails, first serves":       {named(10*usualTime, "first"), failure, 200, "first"},
		"second sheds, first serves":       {named(10*usualTime, "first"), sheds, 200, "first"},
		"both fail":                        {after(3*usualTime, failure), after(3*usualTime, failure), 500, "own failure"},
		"first fails, second resets":       {after(3*usualTime, failure), after(4*usualTime, resets), 500, "own failure"},
	} {
		withHedging(t, 0.2, []behavior{c.first, c.second}, func(h *hedgeHarness) {
			got, _ := h.timed(http.MethodGet, safePath+"1")
			if got.Code != c.status || got.Body.String() != c.body || h.attempts() != 2 {
				t.Errorf("%s: status %d, %d bytes, %d attempts", name, got.Code, got.Body.Len(), h.attempts())
			}
			time.Sleep(time.Second)
			if inUse := h.targets.AttemptsInProgress(); len(inUse) != 0 {
				t.Errorf("%s: attempts still in progress: %v", name, inUse)
			}
		})
	}
}

// TestSlotOfTheLoserCountsUntilItsTargetKnows guards against a request that is sent to a target
// which still works on a cancelled attempt.
func TestSlotOfTheLoserCountsUntilItsTargetKnows(t *testing.T) {
	withHedging(t, 0.2, []behavior{hangs}, func(h *hedgeHarness) {
		h.send(http.MethodGet, safePath+"1", "")
		if inUse := h.targets.AttemptsInProgress(); len(inUse) != 1 {
			t.Errorf("in progress right after the win: %v, want the cancelled attempt", inUse)
		}
		time.Sleep(100 * time.Millisecond)
		if inUse := h.targets.AttemptsInProgress(); len(inUse) != 0 {
			t.Errorf("in progress later: %v", inUse)
		}
	})
}

// TestBothAttemptsEndWhenTheCallerLeaves guards against work for a caller that is gone.
func TestBothAttemptsEndWhenTheCallerLeaves(t *testing.T) {
	withHedging(t, 0.2, []behavior{hangs, hangs}, func(h *hedgeHarness) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		request := httptest.NewRequest(http.MethodGet, "http://"+host+safePath+"1", nil).WithContext(ctx)
		request.Header.Set("Id", "r1")
		start := time.Now()
		h.serveToEnd(httptest.NewRecorder(), request)
		if took := time.Since(start); took != 100*time.Millisecond {
			t.Errorf("ended after %v", took)
		}
		time.Sleep(100 * time.Millisecond)
		if h.attempts() != 2 || h.script.cancelled() != 2 || len(h.targets.AttemptsInProgress()) != 0 {
			t.Errorf("%d attempts, %d cancelled, in progress: %v", h.attempts(), h.script.cancelled(), h.targets.AttemptsInProgress())
		}
		if h.crashes.lost != 0 {
			t.Errorf("%d attempts reported as lost", h.crashes.lost)
		}
	})
}

// TestCrashTrackerSeesBothAttempts guards against a crash that a hedge hides, and against a
// cancelled attempt that is taken for one.
func TestCrashTrackerSeesBothAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		first, second  behavior
		lost, answered int
	}{
		"second wins":                  {after(10*usualTime, serves), serves, 0, 1},
		"first closes its connection":  {after(2*usualTime, resets), after(10*usualTime, serves), 1, 1},
		"second closes its connection": {after(10*usualTime, serves), resets, 1, 1},
		"both close their connections": {after(2*usualTime, resets), after(10*usualTime, resets), 2, 0},
		"both are silent":              {hangs, hangs, 2, 0},
	} {
		withHedging(t, 0.2, []behavior{c.first, c.second}, func(h *hedgeHarness) {
			answered := h.crashes.answered
			h.send(http.MethodGet, safePath+"1", "")
			if h.crashes.lost != c.lost || h.crashes.answered-answered != c.answered {
				t.Errorf("%s: %d lost and %d answered, want %d and %d", name, h.crashes.lost, h.crashes.answered-answered, c.lost, c.answered)
			}
		})
	}
}

// TestSuspectedCrasherIsNotRetriedAfterBothAttempts guards against a third attempt of a request
// whose first attempt was lost, because its second one ended differently.
func TestSuspectedCrasherIsNotRetriedAfterBothAttempts(t *testing.T) {
	first := after(10*usualTime, resets)
	withHedging(t, 0.2, []behavior{first, after(10*usualTime, failsWith(http.StatusInternalServerError))}, func(h *hedgeHarness) {
		route, _ := h.table.Match(host, safePath)
		route.MaxAttempts = 3
		time.AfterFunc(5*usualTime, h.crashes.suspect)
		if h.send(http.MethodGet, safePath+"1", ""); h.attempts() != 2 {
			t.Errorf("%d attempts, want 2", h.attempts())
		}
	})
}

// TestHedgesStayWithinTheRatio guards against extra work beyond what the operator allows, when
// every request is slow at its first target.
func TestHedgesStayWithinTheRatio(t *testing.T) {
	const requests, ratio = 300, 0.05
	withHedging(t, ratio, nil, func(h *hedgeHarness) {
		for range requests {
			h.script.next = []behavior{after(3*usualTime, serves)}
			h.send(http.MethodGet, safePath+"1", "")
		}
		if extra := float64(h.attempts() - requests); extra > ratio*(requests+usualRequests) || extra == 0 {
			t.Errorf("%.0f second attempts of %d requests", extra, requests)
		}
	})
}

// TestHangingTargetsLoseNoPath guards against a path that counts as lost because requests at
// several hanging targets were cancelled by their hedges.
func TestHangingTargetsLoseNoPath(t *testing.T) {
	withHedging(t, 1, nil, func(h *hedgeHarness) {
		for range 20 {
			h.script.next = []behavior{hangs}
			if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != http.StatusOK {
				t.Fatalf("status %d", got.Code)
			}
			time.Sleep(100 * time.Millisecond)
			for range 10 { // the target is sound again
				h.send(http.MethodGet, safePath+"usual", "")
			}
		}
		if h.targets.PathInDoubt() || len(h.targets.CutOffServices()) != 0 {
			t.Error("the path counts as lost")
		}
	})
}
