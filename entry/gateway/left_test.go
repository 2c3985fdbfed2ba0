package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

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
