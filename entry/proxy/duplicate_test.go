package proxy

import (
	"strings"
	"testing"
	"time"
)

const (
	shedResponse  = "HTTP/1.1 503 Service Unavailable\r\nDate: Sat, 05 Dec 2026 01:00:00 GMT\r\nPrimroseloom-Shed: 1\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 4\r\n\r\nfull"
	drainResponse = "HTTP/1.1 503 Service Unavailable\r\nPrimroseloom-Draining: 1\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 0\r\n\r\n"
)

// TestDuplicateOfARefusalIsNotTheNextResponse guards against a request that is told as not run, or
// runs again, since its target wrote the refusal of an earlier request once more on the kept
// connection, with its own correlation or none, or the response to a health check.
func TestDuplicateOfARefusalIsNotTheNextResponse(t *testing.T) {
	uncorrelated := strings.Replace(shedResponse, "Primroseloom-Correlation: $C\r\n", "", 1)
	for name, duplicate := range map[string]string{
		"shed": shedResponse, "shed without a correlation": uncorrelated, "draining": drainResponse, "health": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"shed with status 101": strings.Replace(shedResponse, "503 Service Unavailable", "101 Switching Protocols", 1),
	} {
		for _, isBehind := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				earlier := ""
				script := func(got string) string {
					switch {
					case strings.Contains(got, "/refused"):
						earlier = strings.ReplaceAll(duplicate, "$C", correlationOf(got))
						if isBehind {
							return shedResponse + earlier
						}
						return shedResponse
					case strings.Contains(got, "/next") && !isBehind:
						return earlier + completeResponse
					}
					return completeResponse
				}
				withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
					for _, method := range []string{"POST", "GET"} {
						if got := f.send(0, method, "/refused", ""); got.status != 503 {
							t.Fatalf("refused: %+v", got)
						}
						got := f.send(0, method, "/next", "")
						if method == "POST" && w.count("POST /next") != 1 || got.header.Get(OutcomeHeader) == "not_run" {
							t.Errorf("%s ran %d times, caller %+v", method, w.count(method+" /next"), got)
						}
						if got.status == 200 && got.body != "whole" {
							t.Errorf("another response: %+v", got)
						}
						time.Sleep(20 * time.Second)
					}
				})
			})
		}
	}
}

// TestResponseWithinARefusalIsNotTakenForOne guards against a request that is told as not run since
// its target wrote a part of an earlier refusal before the response.
func TestResponseWithinARefusalIsNotTakenForOne(t *testing.T) {
	earlier, cut := "", 0
	script := func(got string) string {
		switch {
		case strings.Contains(got, "/before"):
			earlier = strings.ReplaceAll(shedResponse, "$C", correlationOf(got))
		case strings.Contains(got, "/next"):
			return earlier[:cut] + completeResponse + earlier[cut:]
		}
		return completeResponse
	}
	withRealConnections(t, script, func(t *testing.T, f *fleet, w *connRecorder) {
		for cut = 1; cut < len(shedResponse); cut++ {
			for range 3 {
				f.send(0, "GET", "/before", "")
			}
			before := w.count("POST /next")
			got := f.send(0, "POST", "/next", "")
			isOwn := got.status == 200 && got.body == "whole"
			if !isOwn && got.header.Get(OutcomeHeader) != "may_have_run" || w.count("POST /next")-before != 1 {
				t.Errorf("cut at %d: ran %d times, caller %+v", cut, w.count("POST /next")-before, got)
			}
			time.Sleep(time.Second)
		}
	})
}
