package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// pathCase is a path as it is sent, with whether it begins with the prefix of a route.
type pathCase struct {
	path     string
	hasRoute bool
}

// TestRoutesAreFoundByThePathAsSent guards against a request that runs by a route with which its path
// does not begin, since an escaped slash was taken for the end of a segment, and against other escapes
// that no longer find their route; also of requests that other VMs forward.
func TestRoutesAreFoundByThePathAsSent(t *testing.T) {
	cases := []pathCase{
		{oncePath + "1", true},
		{oncePath + "a%2Fb", true},
		{"/b%6Fok/1", true},
		{"/book%2F1", false},
		{"/book%2f1", false},
		{"/look%2Fa/1", false},
	}
	withHarness(t, []behavior{serves}, func(h *harness) {
		for _, c := range cases {
			before := h.total()
			got := h.send(http.MethodPost, c.path, "slot")
			if ran := h.total() > before; ran != c.hasRoute || (got.Code == http.StatusNotFound) == c.hasRoute {
				t.Errorf("%s: status %d, ran %v", c.path, got.Code, ran)
			}
			before = h.total()
			refusal := h.gateway.serveForwarded(httptest.NewRecorder(), forwardedRequest(c.path), &primroseloomv1.ForwardHead{DeadlineMs: 500})
			if ran := h.total() > before; ran != c.hasRoute || (refusal == nil) != c.hasRoute {
				t.Errorf("%s, forwarded: ran %v, %v", c.path, ran, refusal)
			}
		}
	})
}
