package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/bytebudget"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// testMemoryMB is the memory of a small VM of the deployments, testLinkMbps its link.
	testMemoryMB, testLinkMbps = 136, 1000
	// downloadBytes is the largest response of the deployments.
	downloadBytes = 540 << 10
)

// withMemory runs a test like withHarness, with a bound on the bytes held.
func withMemory(t *testing.T, behaviors []behavior, test func(h *harness)) {
	t.Helper()
	withHarness(t, behaviors, func(h *harness) {
		h.gateway.memory = newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
		test(h)
	})
}

// leaveRoom fills the budget but for the given bytes, which also large reservations may use.
func (h *harness) leaveRoom(bytes int64) {
	h.t.Helper()
	b := h.gateway.memory.budget
	room := b.Limit()*7/8 - bytes
	if !b.Reserve(0, room-b.Held()) {
		h.t.Fatalf("could not fill the budget up to %d bytes", room)
	}
}

// pattern returns content in which a part that is lost, doubled or out of place shows.
func pattern(length int) []byte {
	content := make([]byte, length)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(content)
	return content
}

// servesBytes responds with a pattern, with its length stated or not.
func servesBytes(length int, states bool) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		out.Header().Set("Id", r.Header.Get("Id"))
		out.Header().Set("Seal", "sealed")
		if states {
			out.Header().Set("Content-Length", strconv.Itoa(length))
		}
		out.WriteHeader(http.StatusOK)
		content := pattern(length)
		for len(content) > 0 {
			n := min(len(content), 10_000)
			_, _ = out.Write(content[:n])
			content = content[n:]
		}
	}
}

// truncatesAt responds with a part of a longer response and closes the connection.
func truncatesAt(length int) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		out.Header().Set("Id", r.Header.Get("Id"))
		out.Header().Set("Seal", "sealed")
		out.Header().Set("Content-Length", strconv.Itoa(length+1))
		_, _ = out.Write(pattern(length))
		panic(http.ErrAbortHandler)
	}
}

// TestNoMemorySettingSetsNoBound guards against VMs without the setting that refuse, pace or
// end anything.
func TestNoMemorySettingSetsNoBound(t *testing.T) {
	withHarness(t, []behavior{servesBytes(maxBufferedResponseBytes, true)}, func(h *harness) {
		if h.gateway.memory != nil || newMemory(0, testLinkMbps, tally.NoopScope) != nil {
			t.Fatal("the bytes held are bounded")
		}
		writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		began := time.Now()
		h.gateway.ServeHTTP(writer, h.request(http.MethodGet, safePath+"1", ""))
		if got := writer.Body.Bytes(); !bytes.Equal(got, pattern(maxBufferedResponseBytes)) {
			t.Errorf("status %d, %d bytes", writer.Code, len(got))
		}
		if writer.deadlines != 0 || time.Since(began) != 0 {
			t.Errorf("%d write deadlines, after %v", writer.deadlines, time.Since(began))
		}
	})
}

// deadlineWriter counts the write deadlines that are set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (w *deadlineWriter) SetWriteDeadline(time.Time) error {
	w.deadlines++
	return nil
}

// TestResponsesOfAllSizesAreWhole guards against parts that are lost, doubled or used again
// too early, with room for the response and without.
func TestResponsesOfAllSizesAreWhole(t *testing.T) {
	for _, length := range []int{0, 1, smallPart - 1, smallPart, smallPart + 1, largePart, 2*largePart + smallPart, 90_000, downloadBytes, maxBufferedResponseBytes, maxBufferedResponseBytes + 1} {
		for _, states := range []bool{true, false} {
			for _, room := range []int64{0, largePart, 3 * largePart, 20 << 20} {
				withMemory(t, []behavior{servesBytes(length, states)}, func(h *harness) {
					h.leaveRoom(requestBytes + largePart + room)
					filled := h.gateway.memory.held()
					for range 2 {
						h.gateway.memory.sizes = bytebudget.Sizes{} // a known route would be refused
						got := h.send(http.MethodGet, safePath+"1", "")
						if got.Code != http.StatusOK || !bytes.Equal(got.Body.Bytes(), pattern(length)) {
							t.Errorf("%d bytes (stated: %v), room for %d: status %d, %d bytes", length, states, room, got.Code, got.Body.Len())
						}
						if held := h.gateway.memory.held(); held != filled {
							t.Errorf("%d bytes (stated: %v), room for %d: %d are still held", length, states, room, held-filled)
						}
					}
				})
			}
		}
	}
}

// TestHeldBytesAreReleasedHoweverARequestEnds guards against a budget that is lost bit by
// bit, until all requests are refused.
func TestHeldBytesAreReleasedHoweverARequestEnds(t *testing.T) {
	for name, handle := range map[string]behavior{
		"served": serves, "large": servesBytes(downloadBytes, true), "too large to hold": servesLongBody,
		"failure": failsWith(http.StatusInternalServerError), "long failure": failsWithLongBody, "refusal": sheds, "reset": resets,
		"truncated": truncatesAt(200_000), "broken off": breaksOffLongBody, "unsigned": unsigned, "hangs": hangs, "encoded": encoded,
	} {
		for _, path := range []string{oncePath, safePath} {
			withMemory(t, []behavior{handle, handle}, func(h *harness) {
				sendAborted(h, &discardingWriter{header: make(http.Header)})
				request := h.request(http.MethodPost, path+"1", strings.Repeat("b", 900))
				func() {
					defer func() { _ = recover() }() // an aborted response
					h.serveToEnd(httptest.NewRecorder(), request)
				}()
				if held := h.gateway.memory.held(); held != 0 {
					t.Errorf("%s: %d bytes are still held", name, held)
				}
				time.Sleep(time.Second) // targets notice closed connections
			})
		}
	}
}

// TestRequestWithoutRoomDoesNotBegin guards against requests that run at a target although
// the VM has no memory for their responses.
func TestRequestWithoutRoomDoesNotBegin(t *testing.T) {
	for _, room := range []int64{0, requestBytes} {
		withMemory(t, []behavior{serves}, func(h *harness) {
			b := h.gateway.memory.budget
			for b.Reserve(0, 1<<10) && b.Limit()-b.Held() > room {
			}
			got := h.send(http.MethodPost, oncePath+"1", "x")
			if got.Code != http.StatusServiceUnavailable || got.Header().Get("After") == "" || h.total() != 0 {
				t.Errorf("room for %d bytes: status %d, retry after %q, %d arrivals", room, got.Code, got.Header().Get("After"), h.total())
			}
			refusal := h.gateway.serveForwarded(httptest.NewRecorder(), forwardedRequest(safePath+"1"), &primroseloomv1.ForwardHead{DeadlineMs: 500})
			if refusal == nil || refusal.Reason != outcome.ReasonNoMemory || refusal.Outcome != outcome.NotRun {
				t.Errorf("room for %d bytes: refusal %v of a forwarded request", room, refusal)
			}
		})
	}
}

// TestSmallResponsesAreServedWhileLargeOnesFillTheBudget guards against callers of small
// responses that are refused because of downloads.
func TestSmallResponsesAreServedWhileLargeOnesFillTheBudget(t *testing.T) {
	withMemory(t, []behavior{serves}, func(h *harness) {
		h.leaveRoom(0)
		if got := h.send(http.MethodPost, oncePath+"1", "x"); got.Code != http.StatusOK {
			t.Errorf("status %d", got.Code)
		}
	})
}

// TestRouteWithLargeResponsesIsRefusedBeforeTheAttempt guards against attempts whose
// responses can't be held, as those before on the same route tell.
func TestRouteWithLargeResponsesIsRefusedBeforeTheAttempt(t *testing.T) {
	withMemory(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
		for range 8 {
			h.send(http.MethodGet, safePath+"1", "")
		}
		began := h.total()
		h.leaveRoom(downloadBytes / 2)
		got := h.send(http.MethodGet, safePath+"1", "")
		if got.Code != http.StatusServiceUnavailable || h.total() != began {
			t.Errorf("status %d, %d arrivals", got.Code, h.total()-began)
		}
	})
}

// TestBrokenOffResponsesDoNotRaiseTheReservation guards against a faulty target whose long responses
// never end, after which each request of the route reserves a megabyte and others are refused.
func TestBrokenOffResponsesDoNotRaiseTheReservation(t *testing.T) {
	withMemory(t, []behavior{truncatesAt(maxBufferedResponseBytes + 2*largePart)}, func(h *harness) {
		for range 8 {
			sendAborted(h, &discardingWriter{header: make(http.Header)})
			time.Sleep(100 * time.Millisecond)
		}
		if got := estimateOf(h, oncePath); got > bytebudget.FirstEstimate {
			t.Errorf("%d bytes are reserved for a response", got)
		}
	})
	withMemory(t, []behavior{servesLongBody}, func(h *harness) {
		for range 8 {
			h.send(http.MethodPost, oncePath+"x", "body")
		}
		if got := estimateOf(h, oncePath); got < maxBufferedResponseBytes/2 {
			t.Errorf("%d bytes are reserved for a response that is always long", got)
		}
	})
}

// estimateOf returns the bytes that are reserved for a response of the route that serves a path.
func estimateOf(h *harness, path string) int64 {
	h.t.Helper()
	route, ok := h.gateway.options.Table().Match(host, path)
	if !ok {
		h.t.Fatalf("%s has no route", path)
	}
	return h.gateway.memory.estimate(route)
}

// TestTruncatedResponseIsRetriedWhileItIsHeld guards against idempotent requests that fail
// though their response was held whole, and against a streamed one that looks complete.
func TestTruncatedResponseIsRetriedWhileItIsHeld(t *testing.T) {
	const length = 200_000
	withMemory(t, []behavior{truncatesAt(length), servesBytes(length, true)}, func(h *harness) {
		for range 6 {
			if got := h.send(http.MethodGet, safePath+"1", ""); got.Code != http.StatusOK || got.Body.Len() != length {
				t.Errorf("status %d, %d bytes", got.Code, got.Body.Len())
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	withMemory(t, []behavior{truncatesAt(length)}, func(h *harness) {
		h.leaveRoom(requestBytes + 2*largePart)
		caller := &discardingWriter{header: make(http.Header)}
		if !sendAborted(h, caller) || caller.bytes == 0 {
			t.Errorf("a response of %d bytes looks complete, status %d", caller.bytes, caller.status)
		}
	})
}

// blockingWriter is a caller that takes the head of a response and then nothing until it is
// released.
type blockingWriter struct {
	*httptest.ResponseRecorder
	began, released chan struct{}
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	select {
	case w.began <- struct{}{}:
	default:
	}
	<-w.released
	return w.ResponseRecorder.Write(p)
}

// TestSlotIsFreeWhileAHeldResponseIsDelivered guards against slots of targets that are taken
// by callers who read slowly.
func TestSlotIsFreeWhileAHeldResponseIsDelivered(t *testing.T) {
	withMemory(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
		writer := &blockingWriter{httptest.NewRecorder(), make(chan struct{}, 1), make(chan struct{})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.gateway.ServeHTTP(writer, h.request(http.MethodGet, safePath+"1", ""))
		}()
		<-writer.began
		if inProgress := h.targets.AttemptsInProgress(); len(inProgress) != 0 {
			t.Errorf("attempts in progress during the delivery: %v", inProgress)
		}
		if held := h.gateway.memory.held(); held < downloadBytes {
			t.Errorf("%d bytes are held during the delivery", held)
		}
		close(writer.released)
		<-done
	})
}

// TestLargeResponsesUseTheirPartOfTheLink guards against downloads that fill the link.
func TestLargeResponsesUseTheirPartOfTheLink(t *testing.T) {
	const linkMbps = 10
	withHarness(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
		h.gateway.memory = newMemory(testMemoryMB, linkMbps, tally.NoopScope)
		began := time.Now()
		got := h.send(http.MethodGet, safePath+"1", "")
		least := time.Duration(float64(downloadBytes-4*largePart) * 8 / (linkMbps * 1e6) * float64(time.Second))
		if took := time.Since(began); got.Body.Len() != downloadBytes || took < least || took > 2*least {
			t.Errorf("%d bytes took %v, want at least %v", got.Body.Len(), took, least)
		}
	})
}

// TestLengthWithoutBodyReservesNothing guards against responses to HEAD requests that are
// taken for as large as the length that they state.
func TestLengthWithoutBodyReservesNothing(t *testing.T) {
	withMemory(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
		h.leaveRoom(requestBytes + largePart)
		got := h.send(http.MethodHead, safePath+"1", "")
		if got.Code != http.StatusOK || got.Header().Get("Content-Length") != strconv.Itoa(downloadBytes) || got.Body.Len() != 0 {
			t.Errorf("status %d, length %q, %d bytes", got.Code, got.Header().Get("Content-Length"), got.Body.Len())
		}
		if estimate := h.gateway.memory.sizes.Estimate("safe", 0, 1<<20); estimate > smallPart {
			t.Errorf("the next response is expected to need %d bytes", estimate)
		}
	})
}

// TestRateCountsLargeResponsesByTheirBytes guards against VMs whose links are full and that
// are offered as many callers as those with small responses; without a bound on memory,
// requests are counted as before.
func TestRateCountsLargeResponsesByTheirBytes(t *testing.T) {
	for _, isBounded := range []bool{true, false} {
		withHarness(t, []behavior{servesBytes(downloadBytes, true)}, func(h *harness) {
			if isBounded {
				h.gateway.memory = newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
			}
			for range 10 {
				h.send(http.MethodGet, safePath+"1", "")
			}
			requests, got := h.gateway.rate.perSecond(time.Now()), h.gateway.Rate()
			if isBounded && got < 20*requests || !isBounded && got != requests {
				t.Errorf("bounded: %v: %v requests a second are told as %v", isBounded, requests, got)
			}
		})
	}
}

// TestSlowCallerErrorIsTold guards against slow callers that are counted as other failures.
func TestSlowCallerErrorIsTold(t *testing.T) {
	if err := slowCaller(io.ErrClosedPipe); errors.Is(err, errSlowCaller) {
		t.Errorf("a closed connection is told as %v", err)
	}
}
