package readahead

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

const lookup = "GET /look HTTP/1.1\r\nHost: a.example\r\n\r\n"

// TestWholeRequestsAreCounted guards against a stop that closes a connection before its last
// request is answered, wherever the byte stream is split, and against one that waits for a
// request that has not arrived.
func TestWholeRequestsAreCounted(t *testing.T) {
	withoutBody, withBody := &http.Request{}, &http.Request{ContentLength: 4}
	for _, c := range []struct {
		name, stream string
		begun        []*http.Request
		want         bool
	}{
		{"one", lookup, []*http.Request{withoutBody}, false},
		{"two, one begun", lookup + lookup, []*http.Request{withoutBody}, true},
		{"two, both begun", lookup + lookup, []*http.Request{withoutBody, withoutBody}, false},
		{"one and a part", lookup + lookup[:len(lookup)-1], []*http.Request{withoutBody}, false},
		{"a body like the end of a head", lookup + "\r\n\r\n", []*http.Request{withBody}, false},
	} {
		for split := range len(c.stream) {
			counted := &requestCounter{}
			counted.add([]byte(c.stream[:split]))
			counted.add([]byte(c.stream[split:]))
			for _, request := range c.begun {
				counted.begin(request)
			}
			if got := counted.hasPipelined(); got != c.want {
				t.Errorf("%s, split at %d: a pipelined request %v, want %v", c.name, split, got, c.want)
			}
		}
	}
}

// TestWaitForPipelinedRequestsIsBounded guards against a stop that a caller holds up by sending
// one request after another.
func TestWaitForPipelinedRequestsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := NewConn(nil)
		conn.count([]byte(lookup + lookup))
		conn.begin(&http.Request{})
		watcher := &Watcher{conns: map[*Conn]struct{}{conn: {}}}
		const bound = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), bound)
		defer cancel()
		began := time.Now()
		watcher.AwaitPipelined(ctx)
		if waited := time.Since(began); waited != bound {
			t.Errorf("waited for %v", waited)
		}
		conn.begin(&http.Request{})
		began = time.Now()
		watcher.AwaitPipelined(t.Context())
		if waited := time.Since(began); waited != 0 {
			t.Errorf("waited for %v although no request is left", waited)
		}
	})
}
