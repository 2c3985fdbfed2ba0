package soak

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/platform"
)

// TestCallerSendsEachRequestOnce guards against a caller whose HTTP client silently sends a
// request again when a reused connection ends: one identifier then stands for two
// requests, and the first may run while the second is refused as not run.
func TestCallerSendsEachRequestOnce(t *testing.T) {
	var mu sync.Mutex
	arrivals := make(map[string]int)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := platform.Headers{}.ReadAttempt(r.Header).AttemptID
		mu.Lock()
		defer mu.Unlock()
		arrivals[id]++
		if len(arrivals)%2 == 0 {
			panic(http.ErrAbortHandler) // ends a reused connection without a response
		}
		_, _ = w.Write([]byte("ok"))
	}))
	defer server.Close()
	link, err := newLink(t.Context(), "127.0.0.1:0", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer link.close()
	c := newCaller("c", 1, &fleet{vms: []*vm{{callersLink: link}}}, newChecker(time.Now()), func() uint64 { return 1 })
	for range 40 {
		c.send(t.Context(), 0)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(arrivals) != 40 {
		t.Errorf("%d of 40 requests arrived", len(arrivals))
	}
	for id, count := range arrivals {
		if count > 1 {
			t.Errorf("request %s arrived %d times", id, count)
		}
	}
}

// TestResponseOfAnotherRequestInARowIsNoticed guards against a check that takes responses in
// another order than their requests.
func TestResponseOfAnotherRequestInARowIsNoticed(t *testing.T) {
	response := func(id string) string {
		body := expectedBody(id, nil)
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n" + placeHeader + ": " + placeValue + "\r\n\r\n" + body
	}
	withoutHeader := strings.Replace(response("d"), placeValue, "Johvi", 1)
	truncated := response("b")[:len(response("b"))-10]
	reader := bufio.NewReader(strings.NewReader(response("a") + response("c") + withoutHeader + truncated))
	if status, wrong := readInRow(reader, "a"); status != statusServed || wrong {
		t.Errorf("the first: status %d, wrong %v", status, wrong)
	}
	if status, wrong := readInRow(reader, "b"); status != statusServed || !wrong {
		t.Errorf("another one's: status %d, wrong %v", status, wrong)
	}
	if status, wrong := readInRow(reader, "d"); status != statusServed || !wrong {
		t.Errorf("one with another header: status %d, wrong %v", status, wrong)
	}
	if status, _ := readInRow(reader, "b"); status != 0 {
		t.Errorf("a truncated one: status %d", status)
	}
}
