package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestResponsesArePassedOnUnchanged(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		got := h.send(http.MethodPost, oncePath+"1", "body")
		if got.Code != http.StatusOK || got.Body.String() != "served body" || got.Header().Get("Seal") != "sealed" {
			t.Errorf("got status %d, body %q, header %v", got.Code, got.Body, got.Header())
		}
	})
}

// TestResultOfEachTargetFailure checks, for each way in which a target can fail an
// attempt, the status that callers of both kinds of request receive, with the
// faulty target alone and with a healthy one beside it.
func TestResultOfEachTargetFailure(t *testing.T) {
	for _, c := range []struct {
		name   string
		handle behavior
		// once and safe are the statuses, with the faulty target alone, of a request
		// that must not run twice and of an idempotent one.
		once, safe int
		// onceRetried is true when a request that must not run twice may be retried
		// at another target.
		onceRetried bool
	}{
		{"internal server error", failsWith(http.StatusInternalServerError), 500, 500, false},
		{"gateway timeout reported by the target", failsWith(http.StatusGatewayTimeout), 504, 504, false},
		{"refusal with proof that the request did not run", sheds, 503, 503, true},
		{"reset", resets, 502, 502, false},
		{"truncated response", truncates, 502, 502, false},
		{"response to another request", answersOtherRequest, 502, 502, false},
		{"unsigned response", unsigned, 502, 502, false},
		{"unrequested Content-Encoding", encoded, 502, 502, false},
		{"no response", hangs, 504, 504, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, []behavior{c.handle}, func(h *harness) {
				if got := h.send(http.MethodPost, oncePath+"1", "x"); got.Code != c.once {
					t.Errorf("once: status %d, want %d", got.Code, c.once)
				}
				if n := h.total(); n != 1 {
					t.Errorf("once: %d arrivals", n)
				}
			})
			withHarness(t, []behavior{c.handle}, func(h *harness) {
				if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != c.safe {
					t.Errorf("safe: status %d, want %d", got.Code, c.safe)
				}
			})
			withHarness(t, []behavior{c.handle, serves}, func(h *harness) { checkBesideHealthy(t, h, c.onceRetried) })
		})
	}
}

// checkBesideHealthy sends requests that must not run twice to a faulty and a
// healthy target. When onceRetried is false, none may arrive more than once; when it
// is true, all must succeed.
func checkBesideHealthy(t *testing.T, h *harness, onceRetried bool) {
	t.Helper()
	const requests = 12
	for range requests {
		before := h.total()
		got := h.send(http.MethodPost, oncePath+"1", "x")
		if arrivals := h.total() - before; arrivals > 1 && !onceRetried {
			t.Fatalf("a request that must not run twice arrived %d times", arrivals)
		}
		if onceRetried && got.Code != http.StatusOK {
			t.Errorf("status %d although a healthy target was available", got.Code)
		}
		time.Sleep(time.Second)
	}
}

func TestIdempotentRequestIsServedByAnotherTarget(t *testing.T) {
	for name, handle := range map[string]behavior{
		"internal server error": failsWith(http.StatusInternalServerError), "reset": resets, "truncated response": truncates, "response to another request": answersOtherRequest,
	} {
		withHarness(t, []behavior{handle, serves}, func(h *harness) {
			for i := range 20 {
				if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != http.StatusOK {
					t.Errorf("%s: request %d: status %d", name, i, got.Code)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

func TestRequestShedByAllTargetsGets503(t *testing.T) {
	withHarness(t, []behavior{sheds, sheds, sheds}, func(h *harness) {
		got := h.send(http.MethodPost, oncePath+"1", "x")
		if got.Code != http.StatusServiceUnavailable || got.Header().Get("After") == "" {
			t.Errorf("status %d, retry after %q", got.Code, got.Header().Get("After"))
		}
		if n := h.total(); n > 2 {
			t.Errorf("%d targets were attempted, the route allows 2", n)
		}
	})
}

func TestCallerOfSilentTargetIsAnsweredAtTimeout(t *testing.T) {
	withHarness(t, []behavior{hangs}, func(h *harness) {
		start := time.Now()
		h.send(http.MethodPost, oncePath+"1", "x")
		if elapsed := time.Since(start); elapsed < routeTimeout || elapsed > routeTimeout+200*time.Millisecond {
			t.Errorf("the caller received a response after %v", elapsed)
		}
	})
}

func TestUnreachableTargetIsReplacedByAnother(t *testing.T) {
	withHarness(t, []behavior{serves, serves}, func(h *harness) {
		h.network.Block(ownIP, "10.1.0.1")
		for range 10 {
			if got := h.send(http.MethodPost, oncePath+"1", "x"); got.Code != http.StatusOK {
				t.Errorf("status %d", got.Code)
			}
		}
		if h.arrivals["t0"] != 0 {
			t.Errorf("%d requests arrived at the unreachable target", h.arrivals["t0"])
		}
	})
}

func TestBadRequestsAreRefusedAtOnce(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		if got := h.send(http.MethodGet, "/nowhere", ""); got.Code != http.StatusNotFound {
			t.Errorf("unknown path: %d", got.Code)
		}
		if got := h.send(http.MethodPost, oncePath+"1", strings.Repeat("x", 1001)); got.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("large body: %d", got.Code)
		}
		if got := h.send(http.MethodGet, safePath+strings.Repeat("x", 2000), ""); got.Code != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("large header: %d", got.Code)
		}
		h.crashes.refuseAfter = 0
		if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("request that crashes targets: %d", got.Code)
		} else if got.Header().Get("After") == "" {
			t.Error("the refusal does not tell when the request may return")
		}
		h.crashes.refuseAfter = -1
		h.table = nil
		if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("without routes: %d", got.Code)
		}
		if h.total() != 0 {
			t.Errorf("%d requests reached a target", h.total())
		}
	})
}

// TestReplacedStreamedFailureEndsItsAttempt sends idempotent requests to a target
// whose failure responses are too long to be buffered. Each leaves an open attempt,
// which must end even when its response is replaced and not passed on.
func TestReplacedStreamedFailureEndsItsAttempt(t *testing.T) {
	for name, second := range map[string]behavior{"served": serves, "failed again": failsWithLongBody, "reset": resets} {
		withHarness(t, []behavior{failsWithLongBody, second}, func(h *harness) {
			for range 20 {
				h.send(http.MethodGet, safePath+"1", "")
				time.Sleep(300 * time.Millisecond)
			}
			if uses := h.targets.AttemptsInProgress(); len(uses) != 0 {
				t.Errorf("%s: attempts still in progress: %v", name, uses)
			}
		})
	}
}

func TestCompleteResponseIsReported(t *testing.T) {
	withHarness(t, []behavior{serves}, func(h *harness) {
		h.send(http.MethodPost, oncePath+"1", "x")
		if h.crashes.answered != 1 {
			t.Errorf("%d reported responses, want 1", h.crashes.answered)
		}
	})
}
