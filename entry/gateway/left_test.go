package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

// TestCallerThatPausesItsUploadGetsItsResponse guards against a caller that counts as gone, and gets
// no response, since a read of its body is ended by a deadline once another VM has refused the
// request, whether that body is held or streamed.
func TestCallerThatPausesItsUploadGetsItsResponse(t *testing.T) {
	const refusedAfter = 2 << 20
	for _, length := range []int{900_000, 3 << 20} {
		withUploads(t, nil, func(h *uploadHarness) {
			h.gateway.options.Carriers = otherVM{client: h.startOther(refusesForwarded(int64(min(length, refusedAfter)), outcome.ReasonTargetShed)), isPrimary: true}
			u := upload{path: patientPath + "1", content: pattern(length), isChunked: true}
			if length > maxBufferedBodyBytes {
				u.stallAfter, u.stall = refusedAfter, time.Second
			}
			if status, _, err := h.sendUpload(u); err != nil || status != http.StatusServiceUnavailable {
				t.Errorf("%d bytes: status %d, %v", length, status, err)
			}
		})
	}
}

// TestRequestWhoseCallerLeftGetsNoSuccess guards against a success that no target gave: net/http
// answers 200 for a handler that returns without a response, and the caller may still read, as
// one that has closed only its own direction (MIXED).
func TestRequestWhoseCallerLeftGetsNoSuccess(t *testing.T) {
	withHarness(t, []behavior{hangs}, func(h *harness) {
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(100*time.Millisecond, leave)
		w := httptest.NewRecorder()
		defer func() {
			if cause := recover(); cause != http.ErrAbortHandler {
				t.Errorf("the handler ended with %v and status %d, want its connection aborted", cause, w.Code)
			}
		}()
		h.gateway.ServeHTTP(w, h.request(http.MethodGet, safePath+"1", "").WithContext(ctx))
	})
}
