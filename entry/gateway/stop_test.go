package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// TestStoppingVMRefusesWhatItCannotFinish guards against a request that is passed on to a target
// although its time limit ends after the process of the VM, and against one that is refused although
// the VM can finish it: callers' requests and those of other VMs, by the route's timeout and by the
// caller's own time limit.
func TestStoppingVMRefusesWhatItCannotFinish(t *testing.T) {
	for _, c := range []struct {
		name      string
		left      time.Duration // of the VM's process
		limit     time.Duration // that the caller, or the other VM, names
		forwarded bool
		refused   bool
	}{
		{"enough for the route's timeout", routeTimeout + 2*timeoutResponseSlack, 5 * time.Second, false, false},
		{"less than the route's timeout", routeTimeout, 5 * time.Second, false, true},
		{"enough for the caller's time limit", 500 * time.Millisecond, 300 * time.Millisecond, false, false},
		{"less than the caller's time limit", 500 * time.Millisecond, 600 * time.Millisecond, false, true},
		{"enough for another VM's request", 500 * time.Millisecond, 300 * time.Millisecond, true, false},
		{"less than another VM's request needs", 500 * time.Millisecond, 600 * time.Millisecond, true, true},
	} {
		withHarness(t, []behavior{serves}, func(h *harness) {
			h.gateway.options.Stopping = func() bool { return true }
			h.gateway.StopBy(time.Now().Add(c.left))
			recorder := httptest.NewRecorder()
			var refusal *outcome.Refusal
			if c.forwarded {
				refusal = h.gateway.serveForwarded(recorder, forwardedRequest(oncePath+"1"), &primroseloomv1.ForwardHead{DeadlineMs: uint32(c.limit.Milliseconds())})
			} else {
				request := h.request(http.MethodPost, oncePath+"1", "slot")
				request.Header.Set("Left", strconv.FormatInt(c.limit.Milliseconds(), 10))
				h.gateway.ServeHTTP(recorder, request)
			}
			if ran := h.total() > 0; ran == c.refused {
				t.Errorf("%s: ran %v", c.name, ran)
			}
			if !c.refused {
				return
			}
			if c.forwarded {
				if result := refusedByVM("vm", refusalMessage(refusal)); !result.otherMayServe || result.refusal.Outcome != outcome.NotRun {
					t.Errorf("%s: %+v, want another VM to serve it", c.name, result)
				}
				return
			}
			if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get("After") == "" || recorder.Header().Get("Connection") != "close" {
				t.Errorf("%s: status %d, header %v", c.name, recorder.Code, recorder.Header())
			}
		})
	}
}

// TestRefusalAtAStopCostsNothing guards against a request that is charged to its customer, or whose body
// is read, although a stopping VM refuses it.
func TestRefusalAtAStopCostsNothing(t *testing.T) {
	withQuotas(t, []behavior{serves}, 1, func(h *harness, quotas *countedQuotas) {
		h.gateway.StopBy(time.Now().Add(routeTimeout / 2))
		if got := h.postWithKey(oncePath+"1", "k1", unreadBody{t}); got.Code != http.StatusServiceUnavailable || quotas.asked != 0 {
			t.Errorf("status %d, charged %d times", got.Code, quotas.asked)
		}
	})
}

// TestRequestsAreInProgressUntilTheyEnd guards against a stop that ends while requests are in progress,
// and against one that waits for requests that have ended, also by an aborted response.
func TestRequestsAreInProgressUntilTheyEnd(t *testing.T) {
	for name, ends := range map[string]behavior{"served": serves, "broken off": breaksOffLongBody} {
		withHarness(t, []behavior{after(usualTime, ends)}, func(h *harness) {
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				defer func() { _ = recover() }()
				h.send(http.MethodGet, safePath+"1", "")
			}()
			time.Sleep(usualTime / 2)
			during := h.gateway.InProgress()
			<-ended
			if left := h.gateway.InProgress(); during != 1 || left != 0 {
				t.Errorf("%s: %d requests in progress, and %d after the end, want 1 and 0", name, during, left)
			}
		})
	}
}
