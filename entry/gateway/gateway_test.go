package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestAnswersArePassedOnUnchanged(t *testing.T) {
	inWorld(t, []behavior{serves}, func(w *world) {
		got := w.ask(http.MethodPost, oncePath+"1", "body")
		if got.Code != http.StatusOK || got.Body.String() != "served body" || got.Header().Get("Seal") != "sealed" {
			t.Errorf("told %d %q %v", got.Code, got.Body, got.Header())
		}
	})
}

// TestEndsOfAttempts lists, for each way in which a target can end an attempt,
// what callers of both kinds of request are told, with one target and with a
// sound one beside it.
func TestEndsOfAttempts(t *testing.T) {
	for _, c := range []struct {
		name string
		act  behavior
		// once and safe are the statuses with the faulty target alone.
		once, safe int
		// onceRetried is true when a request that runs once may go elsewhere.
		onceRetried bool
	}{
		{"own failure", failsWith(http.StatusInternalServerError), 500, 500, false},
		{"own failure at its time limit", failsWith(http.StatusGatewayTimeout), 504, 504, false},
		{"refusal with proof", sheds, 503, 503, true},
		{"reset", resets, 502, 502, false},
		{"cut short", truncates, 502, 502, false},
		{"answer to another request", answersAnother, 502, 502, false},
		{"no signature", unsealed, 502, 502, false},
		{"encoded", encoded, 502, 502, false},
		{"silence", hangs, 504, 504, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, []behavior{c.act}, func(w *world) {
				if got := w.ask(http.MethodPost, oncePath+"1", "x"); got.Code != c.once {
					t.Errorf("once: told %d, want %d", got.Code, c.once)
				}
				if n := w.total(); n != 1 {
					t.Errorf("once: %d arrivals", n)
				}
			})
			inWorld(t, []behavior{c.act}, func(w *world) {
				if got := w.ask(http.MethodGet, safePath+"1", ""); got.Code != c.safe {
					t.Errorf("safe: told %d, want %d", got.Code, c.safe)
				}
			})
			inWorld(t, []behavior{c.act, serves}, func(w *world) { checkBesideSound(t, w, c.onceRetried) })
		})
	}
}

// checkBesideSound sends requests of both kinds to a faulty and a sound target.
func checkBesideSound(t *testing.T, w *world, onceRetried bool) {
	t.Helper()
	const requests = 12
	for range requests {
		before := w.total()
		got := w.ask(http.MethodPost, oncePath+"1", "x")
		if arrivals := w.total() - before; arrivals > 1 && !onceRetried {
			t.Fatalf("a request that runs once arrived %d times", arrivals)
		}
		if onceRetried && got.Code != http.StatusOK {
			t.Errorf("told %d although a sound target was there", got.Code)
		}
		time.Sleep(time.Second)
	}
}

func TestIdempotentRequestIsServedByAnotherTarget(t *testing.T) {
	for name, act := range map[string]behavior{
		"own failure": failsWith(http.StatusInternalServerError), "reset": resets, "cut short": truncates, "other answer": answersAnother,
	} {
		inWorld(t, []behavior{act, serves}, func(w *world) {
			for i := range 20 {
				if got := w.ask(http.MethodGet, safePath+"1", ""); got.Code != http.StatusOK {
					t.Errorf("%s: request %d: told %d", name, i, got.Code)
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
}

func TestRefusalsSayThatNothingRan(t *testing.T) {
	inWorld(t, []behavior{sheds, sheds, sheds}, func(w *world) {
		got := w.ask(http.MethodPost, oncePath+"1", "x")
		if got.Code != http.StatusServiceUnavailable || got.Header().Get("After") == "" {
			t.Errorf("told %d, come back %q", got.Code, got.Header().Get("After"))
		}
		if n := w.total(); n > 2 {
			t.Errorf("%d targets were asked, the route allows 2", n)
		}
	})
}

func TestSilentTargetIsAnsweredForInTime(t *testing.T) {
	inWorld(t, []behavior{hangs}, func(w *world) {
		began := time.Now()
		w.ask(http.MethodPost, oncePath+"1", "x")
		if took := time.Since(began); took < routeTimeout || took > routeTimeout+200*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
	})
}

func TestUnreachableTargetIsLeftForAnother(t *testing.T) {
	inWorld(t, []behavior{serves, serves}, func(w *world) {
		w.network.Block(ownIP, "10.1.0.1")
		for range 10 {
			if got := w.ask(http.MethodPost, oncePath+"1", "x"); got.Code != http.StatusOK {
				t.Errorf("told %d", got.Code)
			}
		}
		if w.arrivals["t0"] != 0 {
			t.Errorf("%d requests arrived through a blocked path", w.arrivals["t0"])
		}
	})
}

func TestBadRequestsAreRefusedAtOnce(t *testing.T) {
	inWorld(t, []behavior{serves}, func(w *world) {
		if got := w.ask(http.MethodGet, "/nowhere", ""); got.Code != http.StatusNotFound {
			t.Errorf("unknown path: %d", got.Code)
		}
		if got := w.ask(http.MethodPost, oncePath+"1", strings.Repeat("x", 1001)); got.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("large body: %d", got.Code)
		}
		if got := w.ask(http.MethodGet, safePath+strings.Repeat("x", 2000), ""); got.Code != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("large header: %d", got.Code)
		}
		w.crashes.refuse = true
		if got := w.ask(http.MethodGet, safePath+"1", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("request that crashes targets: %d", got.Code)
		}
		w.table = nil
		if got := w.ask(http.MethodGet, safePath+"1", ""); got.Code != http.StatusServiceUnavailable {
			t.Errorf("without routes: %d", got.Code)
		}
		if w.total() != 0 {
			t.Errorf("%d requests reached a target", w.total())
		}
	})
}

func TestTargetThatGoesAwayIsReported(t *testing.T) {
	inWorld(t, []behavior{resets}, func(w *world) {
		w.ask(http.MethodPost, oncePath+"1", "x")
		if w.crashes.reports != 1 || w.crashes.answered != 0 {
			t.Errorf("%d reports, %d answers", w.crashes.reports, w.crashes.answered)
		}
	})
}

// TestLongFailureIsFinishedOnceAnotherAnswerTakesItsPlace sends idempotent
// requests to a target whose failures are too long to be held whole. Each leaves
// an open attempt behind, which must end although its answer is not passed on.
func TestLongFailureIsFinishedOnceAnotherAnswerTakesItsPlace(t *testing.T) {
	for name, second := range map[string]behavior{"served": serves, "failed again": failsAtLength, "reset": resets} {
		inWorld(t, []behavior{failsAtLength, second}, func(w *world) {
			for range 20 {
				w.ask(http.MethodGet, safePath+"1", "")
				time.Sleep(300 * time.Millisecond)
			}
			if uses := w.targets.AttemptsInProgress(); len(uses) != 0 {
				t.Errorf("%s: attempts still in progress: %v", name, uses)
			}
		})
	}
}

func TestWholeAnswerIsReported(t *testing.T) {
	inWorld(t, []behavior{serves}, func(w *world) {
		w.ask(http.MethodPost, oncePath+"1", "x")
		if w.crashes.answered != 1 {
			t.Errorf("%d reports of answers", w.crashes.answered)
		}
	})
}
