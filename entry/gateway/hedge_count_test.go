package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/hedge"
)

// TestHedgesAreCounted guards against hedges that operators can't see: how many began and won, and
// why a slow request got none.
func TestHedgesAreCounted(t *testing.T) {
	slow := after(10*usualTime, serves)
	for name, c := range map[string]struct {
		ratio   float64
		suspect bool
		want    map[string]int64
	}{
		"won":               {0.2, false, map[string]int64{"hedges+": 1, "hedges_won+": 1}},
		"budget is spent":   {0.001, false, map[string]int64{"hedges_not_made+reason=budget": 1}},
		"may crash targets": {0.2, true, map[string]int64{"hedges_not_made+reason=crash_suspect": 1}},
	} {
		withHedging(t, c.ratio, []behavior{slow}, func(h *hedgeHarness) {
			scope := tally.NewTestScope("", nil)
			h.gateway.metrics = newCounters(scope)
			h.crashes.suspected = c.suspect
			h.send(http.MethodGet, safePath+"1", "")
			h.send(http.MethodGet, safePath+"usual", "")
			got := make(map[string]int64)
			for id, counter := range scope.Snapshot().Counters() {
				if strings.HasPrefix(id, "hedges") {
					got[id] = counter.Value()
				}
			}
			for id, want := range c.want {
				if got[id] != want || len(got) != len(c.want) {
					t.Errorf("%s: %v, want %v", name, got, c.want)
				}
			}
		})
	}
}

// TestBodyThatIsNotHeldIsNotHedged guards against a second attempt with a part of the body only.
func TestBodyThatIsNotHeldIsNotHedged(t *testing.T) {
	q := &request{route: &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: 2}}
	if got := q.hedgeable(false); got != hedge.Allowed {
		t.Errorf("held: %s", got)
	}
	q.body.rest = newBodyStream([]byte("begin"), strings.NewReader("rest"))
	if got := q.hedgeable(false); got != hedge.BodyNotHeld {
		t.Errorf("not held: %s", got)
	}
}

// TestHedgeNeedsTimeThatIsLeft guards against a second attempt that could not end in time.
func TestHedgeNeedsTimeThatIsLeft(t *testing.T) {
	withHedging(t, 0.2, []behavior{after(10*usualTime, serves)}, func(h *hedgeHarness) {
		route, _ := h.table.Match(host, safePath)
		route.Timeout = 20 * time.Millisecond // the hedge would be due after 15, and takes 10
		if h.send(http.MethodGet, safePath+"1", ""); h.attempts() != 1 {
			t.Errorf("%d attempts", h.attempts())
		}
	})
}

// TestHedgeHasTheBodyThoughTheFirstAttemptWins guards against a target that runs a request with an
// empty body: the first attempt serves the request, and its body is discarded, right when the
// second one begins.
func TestHedgeHasTheBodyThoughTheFirstAttemptWins(t *testing.T) {
	withUploads(t, []uploadBehavior{answersAfter(-1, http.StatusOK, 10)}, func(h *uploadHarness) {
		content := pattern(1000)
		for range 20 {
			route, _ := h.table.Match(host, safePath)
			q := &request{
				gateway: h.gateway, caller: h.request(http.MethodPost, safePath+"1", string(content)), route: route, service: "s",
				start: time.Now(), deadline: time.Now().Add(routeTimeout), body: body{buffered: content, length: int64(len(content))},
			}
			attempt, err := h.targets.Begin(q.placementRequest())
			if err != nil {
				t.Fatal(err)
			}
			r := &race{q: q, ctx: h.t.Context()}
			r.begin(attempt)
			q.body.discard()
			<-r.secondEnded
		}
		h.check("hedge", content)
	})
}
