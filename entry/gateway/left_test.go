package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"
)

// readDeadlines records the read deadline that is set on its connection.
type readDeadlines struct {
	*httptest.ResponseRecorder
	deadlines int
}

func (w *readDeadlines) SetReadDeadline(time.Time) error {
	w.deadlines++
	return nil
}

// TestHeldBodyOfAForwardedRequestEndsNoWatch guards against a caller that counts as gone, and gets
// no response of its own, since a busy VM takes long to end the exchange with another one.
func TestHeldBodyOfAForwardedRequestEndsNoWatch(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &readDeadlines{ResponseRecorder: httptest.NewRecorder()}
			q := &request{writer: w}
			if streamed {
				q.body.rest = http.NoBody
			}
			sent := make(chan struct{})
			time.AfterFunc(2*bodyEndTime, func() { close(sent) })
			q.awaitBody(sent)
			if (w.deadlines > 0) != streamed {
				t.Errorf("the body is streamed: %v, %d read deadlines were set", streamed, w.deadlines)
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
