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

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// TestTargetThatResetsIsReportedAsCrash checks that an attempt is reported as lost,
// so that its target is checked for a crash, whenever its target ended it without a
// complete response: a target that falls silent crashes requests as one that closes
// its connections does. A target that answers has not crashed, whatever it answers.
func TestTargetThatResetsIsReportedAsCrash(t *testing.T) {
	for name, c := range map[string]struct {
		behavior       behavior
		lost, answered int
	}{
		"closes the connection":       {resets, 1, 0},
		"falls silent":                {hangs, 1, 0},
		"breaks off the response":     {truncates, 1, 0},
		"breaks off a long response":  {breaksOffLongBody, 1, 0},
		"answers another request":     {answersOtherRequest, 1, 0},
		"refuses for lack of a slot":  {sheds, 0, 0},
		"fails":                       {failsWith(http.StatusInternalServerError), 0, 0},
		"fails with a long body":      {failsWithLongBody, 0, 0},
		"serves":                      {serves, 0, 1},
		"serves a long body":          {servesLongBody, 0, 1},
		"serves after a long silence": {servesLate, 0, 1},
	} {
		withHarness(t, []behavior{c.behavior}, func(h *harness) {
			sendToEnd(h, http.MethodPost, oncePath+"1")
			if h.crashes.lost != c.lost || h.crashes.answered != c.answered {
				t.Errorf("%s: %d lost attempts and %d responses reported, want %d and %d", name, h.crashes.lost, h.crashes.answered, c.lost, c.answered)
			}
		})
	}
}

// sendToEnd sends a request whose response the gateway may abort.
func sendToEnd(h *harness, method, path string) {
	h.serveToEnd(httptest.NewRecorder(), h.request(method, path, "x"))
}

// serveToEnd serves a request whose response the gateway may abort.
func (h *harness) serveToEnd(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	h.gateway.ServeHTTP(w, r)
}

// TestSilentTargetIsReportedBeforeTheTimeLimit guards against a request with a long
// time limit that goes on crashing targets, since the first that fell silent is
// noticed only when the limit has passed.
func TestSilentTargetIsReportedBeforeTheTimeLimit(t *testing.T) {
	withHarness(t, []behavior{hangs}, func(h *harness) {
		ended := make(chan struct{})
		go func() {
			h.send(http.MethodPost, patientPath+"1", "x")
			close(ended)
		}()
		time.Sleep(silenceTime + 100*time.Millisecond)
		h.crashes.mu.Lock()
		lost, inProgress := h.crashes.lost, h.crashes.inProgress
		h.crashes.mu.Unlock()
		if lost != 1 || inProgress != 1 {
			t.Errorf("%d lost attempts reported while the request waits, %d of them in progress", lost, inProgress)
		}
		<-ended
		if h.crashes.lost != 2 || h.crashes.inProgress != 1 {
			t.Errorf("%d lost attempts reported at the end, %d of them in progress", h.crashes.lost, h.crashes.inProgress)
		}
	})
}

// TestNoFurtherAttemptOnceRequestIsRefused guards against a request that is found to
// crash targets while it is in progress: its next attempt must not begin, and the
// response must not promise that nothing ran.
func TestNoFurtherAttemptOnceRequestIsRefused(t *testing.T) {
	withHarness(t, []behavior{resets, resets}, func(h *harness) {
		h.crashes.refuseAfter = 1
		got := h.send(http.MethodGet, safePath+"1", "")
		if h.total() != 1 || got.Code != http.StatusBadGateway {
			t.Errorf("%d attempts, status %d", h.total(), got.Code)
		}
	})
}

// TestSuspectIsNotSentAgainAfterALostAttempt guards against a request that has crashed
// a target before and crashes two more in one go: its attempt is lost, and whether its
// target crashed is known only after the next attempt.
func TestSuspectIsNotSentAgainAfterALostAttempt(t *testing.T) {
	withHarness(t, []behavior{resets, resets}, func(h *harness) {
		h.crashes.suspected = true
		if h.send(http.MethodGet, safePath+"1", ""); h.total() != 1 {
			t.Errorf("%d attempts, want 1", h.total())
		}
	})
	withHarness(t, []behavior{failsWith(http.StatusInternalServerError), failsWith(http.StatusInternalServerError)}, func(h *harness) {
		h.crashes.suspected = true
		if h.send(http.MethodGet, safePath+"1", ""); h.total() != 2 {
			t.Errorf("%d attempts after a failure response, want 2", h.total())
		}
	})
}

// TestCallerThatLeavesIsNoSignOfACrash checks that an attempt which ends because its
// caller left is not reported as lost.
func TestCallerThatLeavesIsNoSignOfACrash(t *testing.T) {
	withHarness(t, []behavior{hangs}, func(h *harness) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		request := httptest.NewRequest(http.MethodGet, "http://"+host+safePath+"1", nil).WithContext(ctx)
		request.Header.Set("Id", "r1")
		h.serveToEnd(httptest.NewRecorder(), request)
		if h.crashes.lost != 0 {
			t.Errorf("%d lost attempts reported", h.crashes.lost)
		}
	})
}

// TestRepeatedRequestHasTheSameFingerprint guards against a request that is not
// recognized when it comes again through another connection, and against two requests
// that are taken for one.
func TestRepeatedRequestHasTheSameFingerprint(t *testing.T) {
	send := func(method, url, caller, body string) quarantine.Fingerprint {
		request := httptest.NewRequest(method, url, nil)
		request.RemoteAddr = caller
		return identify(request, host, []byte(body)).Exact()
	}
	first := send("GET", "http://"+host+"/a?b=1", "10.0.0.1:1000", "x")
	if send("GET", "http://"+strings.ToUpper(host)+":8144/%61?b=1", "10.0.0.1:2000", "x") != first {
		t.Error("another port of the caller or spelling of the host or path gives another fingerprint")
	}
	for name, other := range map[string]quarantine.Fingerprint{
		"method": send("POST", "http://"+host+"/a?b=1", "10.0.0.1:1000", "x"),
		"query":  send("GET", "http://"+host+"/a?b=2", "10.0.0.1:1000", "x"),
		"caller": send("GET", "http://"+host+"/a?b=1", "10.0.0.2:1000", "x"),
		"body":   send("GET", "http://"+host+"/a?b=1", "10.0.0.1:1000", "y"),
	} {
		if other == first {
			t.Errorf("another %s gives the same fingerprint", name)
		}
	}
}

// TestAttemptLostBesideLargeBodiesIsReportedAsSuch guards against requests that are suspected
// of the end of a target that held too much, and against a change without a bound on memory.
func TestAttemptLostBesideLargeBodiesIsReportedAsSuch(t *testing.T) {
	const length = 900_000
	dies := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	for _, c := range []struct {
		name      string
		requests  int
		isBounded bool
		much      int
	}{
		{"one large body", 1, true, 0},
		{"three large bodies", 3, true, 3},
		{"three large bodies without a bound", 3, false, 0},
	} {
		withHarness(t, []behavior{dies}, func(h *harness) {
			h.table = tableWithBodies(t, 2*length)
			if c.isBounded {
				h.gateway.memory = newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
			}
			var callers sync.WaitGroup
			for range c.requests {
				callers.Go(func() { h.send(http.MethodPost, oncePath+"1", string(pattern(length))) })
			}
			callers.Wait()
			if h.crashes.lost != c.requests || h.crashes.lostToMuch != c.much {
				t.Errorf("%s: %d lost, %d of them beside much, want %d", c.name, h.crashes.lost, h.crashes.lostToMuch, c.much)
			}
		})
	}
}
