package proxy

import (
	"net/http/httptest"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
)

// TestIdempotentRulesHoldForThePathAsSent guards against a request that is sent again since an escaped
// slash in its path was taken for the end of the prefix of idempotent requests.
func TestIdempotentRulesHoldForThePathAsSent(t *testing.T) {
	service := &document.Service{Idempotent: []document.RequestRule{{Method: "POST", PathPrefix: "/search/"}}}
	for path, want := range map[string]bool{"/search/1": true, "/s%65arch/1": true, "/search%2F1": false, "/search%2f1": false} {
		if got := isIdempotent(service, httptest.NewRequest("POST", path, nil)); got != want {
			t.Errorf("%s: idempotent %v, want %v", path, got, want)
		}
	}
}
