package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/roster"
)

// says returns a behavior with a header of the response, by which a target speaks of
// itself.
func says(name, value string, handle behavior) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		out.Header().Set(name, value)
		handle(out, r)
	}
}

// sendFor sends requests of both kinds in turn for a length of time, several a second.
func (h *harness) sendFor(length time.Duration) {
	h.t.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		h.send(http.MethodGet, safePath+"x", "")
		h.send(http.MethodPost, oncePath+"x", "body")
	}
}

func (h *harness) arrivalsAt(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.arrivals[id]
}

// TestTargetGetsThePauseThatItAsksFor guards against requests, trials or explorations of a
// target that has refused a request and asked this VM for a pause.
func TestTargetGetsThePauseThatItAsksFor(t *testing.T) {
	const pause = 4 * time.Second
	withHarness(t, []behavior{says("Pause", pause.String(), sheds), serves}, func(h *harness) {
		for h.arrivalsAt("t0") == 0 {
			h.sendFor(100 * time.Millisecond)
		}
		before := h.arrivalsAt("t0")
		h.sendFor(pause - 300*time.Millisecond)
		if got := h.arrivalsAt("t0") - before; got > 0 {
			t.Errorf("%d requests reached the target in its pause", got)
		}
		h.sendFor(pause)
		if h.arrivalsAt("t0") == before {
			t.Error("the target got no request after its pause")
		}
	})
}

// TestCallerLearnsWhenThePauseOfAllTargetsEnds guards against a refusal without a time, or
// with a time at which no target takes requests, when all targets have asked for a pause.
func TestCallerLearnsWhenThePauseOfAllTargetsEnds(t *testing.T) {
	withHarness(t, []behavior{says("Pause", "9s", sheds), says("Pause", "5s", sheds)}, func(h *harness) {
		for h.arrivalsAt("t0") == 0 || h.arrivalsAt("t1") == 0 {
			h.send(http.MethodPost, oncePath+"x", "body")
		}
		before := h.total()
		response := h.send(http.MethodPost, oncePath+"x", "body")
		after, err := time.ParseDuration(response.Header().Get("After"))
		if response.Code != http.StatusServiceUnavailable || err != nil || after < 3*time.Second || after > 7*time.Second {
			t.Errorf("status %d, retry after %v, want about 5 s", response.Code, after)
		}
		if h.total() != before {
			t.Error("a request reached a target in its pause")
		}
	})
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against work for a target that has said
// in a response that it leaves, whatever the store says of it later.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	withHarness(t, []behavior{says("Leaving", "1", serves), serves}, func(h *harness) {
		published := h.published
		for h.arrivalsAt("t0") == 0 {
			h.sendFor(100 * time.Millisecond)
		}
		before := h.arrivalsAt("t0")
		for step, change := range []func(){
			func() {},
			func() { h.targets.TargetsChanged(published[1:]) },
			func() { h.targets.TargetsChanged(published) },
		} {
			change()
			h.sendFor(3 * time.Second)
			if got := h.arrivalsAt("t0") - before; got > 0 {
				t.Fatalf("step %s: %d requests reached the target that leaves", strconv.Itoa(step), got)
			}
		}
		restarted := append([]roster.Target(nil), published...)
		restarted[0].StartedAt = restarted[0].StartedAt.Add(time.Second)
		h.targets.TargetsChanged(restarted)
		h.sendFor(3 * time.Second)
		if h.arrivalsAt("t0") == before {
			t.Error("the restarted target got no request")
		}
	})
}

// TestTargetGetsNoMoreThanItsLimit guards against attempts of any kind beyond the rate that
// a target limits its requests to, and against leaving the rate unused.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	const perSecond, seconds = 2.0, 20
	withHarness(t, []behavior{says("Limit", "2", serves), serves, resets}, func(h *harness) {
		for h.arrivalsAt("t0") == 0 {
			h.sendFor(100 * time.Millisecond)
		}
		before := h.arrivalsAt("t0")
		h.sendFor(seconds * time.Second)
		got := float64(h.arrivalsAt("t0") - before)
		if got > perSecond*seconds+1 || got < 0.5*perSecond*seconds {
			t.Errorf("%.0f requests in %d s reached the target, which takes %.0f a second", got, seconds, perSecond)
		}
	})
}

// TestLimitThatIsLiftedNoLongerHolds guards against a target that stays nearly unused after
// it has recovered.
func TestLimitThatIsLiftedNoLongerHolds(t *testing.T) {
	isLimited := true
	withHarness(t, []behavior{func(out http.ResponseWriter, r *http.Request) {
		if isLimited {
			out.Header().Set("Limit", "1")
		}
		serves(out, r)
	}, serves}, func(h *harness) {
		h.sendFor(3 * time.Second)
		isLimited = false
		h.sendFor(3 * time.Second)
		before := h.arrivalsAt("t0")
		h.sendFor(2 * time.Second)
		if got := h.arrivalsAt("t0") - before; got < 20 {
			t.Errorf("%d requests in 2 s reached the target after it had lifted its limit", got)
		}
	})
}

// TestRequestBeyondAllLimitsIsRefusedAtOnce guards against a request that waits, or is sent
// in vain, when all targets limit their requests, and a caller that isn't told when the
// next one is taken.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	withHarness(t, []behavior{says("Limit", "0.5", serves)}, func(h *harness) {
		h.send(http.MethodPost, oncePath+"x", "body")
		response := h.send(http.MethodPost, oncePath+"x", "body")
		after, err := time.ParseDuration(response.Header().Get("After"))
		if response.Code != http.StatusServiceUnavailable || err != nil || after < 1900*time.Millisecond || after > 3100*time.Millisecond {
			t.Errorf("status %d, retry after %v, want 2 to 3 s", response.Code, after)
		}
		time.Sleep(after)
		if response := h.send(http.MethodPost, oncePath+"x", "body"); response.Code != http.StatusOK {
			t.Errorf("status %d at the time that the caller was told", response.Code)
		}
	})
}
