package forwarding

import (
	"errors"
	"net/http"
	"testing"
)

// TestCarriedStatusThatHTTPDoesNotHaveIsRefused guards against a status outside 200 to 599 that another VM, of
// whatever build, passes on: callers would get it, or net/http's server would panic.
func TestCarriedStatusThatHTTPDoesNotHaveIsRefused(t *testing.T) {
	status := 0
	client := startCarrier(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	for code, want := range map[int]error{0: ErrStatus, 99: ErrStatus, 199: ErrStatus, 600: ErrStatus, 999: ErrStatus, 5000: ErrStatus, 200: nil, 204: nil, 503: nil, 599: nil} {
		status = code
		if _, err := sendCarried(t, client, message{method: http.MethodGet, host: "a", uri: "/"}); !errors.Is(err, want) {
			t.Errorf("status %d: error %v, want %v", code, err, want)
		}
	}
}
