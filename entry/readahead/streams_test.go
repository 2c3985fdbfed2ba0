package readahead_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestStreamsAreReserved guards against connections of HTTP/2, and heads of their requests, that are kept
// without being counted.
func TestStreamsAreReserved(t *testing.T) {
	for _, c := range []struct {
		name   string
		limit  int64
		fields int
		want   int
	}{
		{"room for both", 4 << 20, 500, http.StatusOK},
		{"no room for the head", 1<<20 + 32<<10, 500, http.StatusServiceUnavailable},
		{"no room for the connection", 1<<20 - 1, 1, 0},
	} {
		withBudget(t, c.limit, func(s *budgetServer) {
			protocols := new(http.Protocols)
			protocols.SetUnencryptedHTTP2(true)
			transport := &http.Transport{DialContext: s.network.Host("10.0.0.2").DialContext, Protocols: protocols}
			request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://10.0.0.1:80/", nil)
			if err != nil {
				t.Fatal(err)
			}
			for i := range c.fields {
				request.Header.Set("f"+strconv.Itoa(i), "1")
			}
			got := 0
			if response, err := transport.RoundTrip(request); err == nil {
				got = response.StatusCode
				_ = response.Body.Close()
			}
			transport.CloseIdleConnections()
			time.Sleep(time.Second)
			if got != c.want {
				t.Errorf("%s: status %d, want %d", c.name, got, c.want)
			}
			if held := s.budget.heldBytes(); held != 0 {
				t.Errorf("%s: %d bytes are reserved after the end", c.name, held)
			}
		})
	}
}

// TestStreamsMakeRoomForOthers guards against few connections of HTTP/2 that hold the whole budget while their
// requests wait for their caller.
func TestStreamsMakeRoomForOthers(t *testing.T) {
	withBudget(t, 1<<20+64<<10, func(s *budgetServer) {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{DialContext: s.network.Host("10.0.0.2").DialContext, Protocols: protocols}
		body, unfinished := io.Pipe()
		request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://10.0.0.1:80/", body)
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if response, err := transport.RoundTrip(request); err == nil {
				_ = response.Body.Close()
			}
		}()
		time.Sleep(time.Second)
		conn := s.dial()
		s.send(conn, headBegin+shortFields(1000)+"\r\n")
		if got := status(conn); got != http.StatusOK {
			t.Errorf("status %d beside a connection of HTTP/2 that waits for its caller", got)
		}
		_ = unfinished.Close()
		<-ended
		transport.CloseIdleConnections()
	})
}
