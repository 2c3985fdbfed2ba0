package targetconn

import (
	"net/http"
	"testing"
)

// TestSecondStatusLineIsFoundAtTheEndOnly guards against a response that is taken for two since
// one of its fields names a protocol.
func TestSecondStatusLineIsFoundAtTheEndOnly(t *testing.T) {
	for value, want := range map[string]bool{
		"Sat, 05 DeHTTP/1.1 200 OK": true, "HTTP/1.1 503 Service Unavailable": true, "1HTTP/1.0 204": true, "xHTTP/1.1 200 ": true,
		"HTTP/1.1 proxy-3": false, "HTTP/1.1": false, "max-age=5, HTTP/1.1": false, "HTTP/1.1 2000": false, "GET / HTTP/1.1 200: see": false, "": false,
	} {
		response := &http.Response{Status: "200 OK", Header: http.Header{"Date": {"x"}, "Via": {"first", value}}}
		if got := hasTwoHeads(response); got != want {
			t.Errorf("field %q: %v, want %v", value, got, want)
		}
	}
	if !hasTwoHeads(&http.Response{Status: "503 Service UnHTTP/1.1 200 OK"}) {
		t.Error("a status line within the status was not found")
	}
}
