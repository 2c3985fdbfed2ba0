package proxy

import (
	"fmt"
	"net/http"
	"testing"
)

// TestTargetsOwnStatusIsNoRefusal guards against a caller that sends a booking again since a target,
// which ran it, has failed it with a status that VMs use for refusals: the outcome says that it is
// the target's answer, also of a keyed request that another VM hands over.
func TestTargetsOwnStatusIsNoRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		withFleet(t, 2, oneTarget(), func(t *testing.T, f *fleet) {
			runs := 0
			startScriptedTargets(t, f, func(*http.Request) string {
				runs++
				return fmt.Sprintf("HTTP/1.1 %d Failed\r\nPrimroseloom-Correlation: $C\r\nContent-Length: 4\r\n\r\nfail", status)
			})
			key := f.vms[1].keyHeader("order-1")
			for _, c := range []struct {
				name, method string
				header       []string
				runs         int
			}{{"once", "POST", nil, 1}, {"idempotent", "GET", nil, 1}, {"keyed", "POST", []string{key}, 1}, {"resent", "POST", []string{key}, 0}} {
				before := runs
				got := f.send(0, c.method, "/book", "", c.header...)
				if got.status != status || got.body != "fail" || got.header.Get(OutcomeHeader) != "answered" || runs-before != c.runs {
					t.Errorf("%s: %+v after %d runs, want %d with outcome answered", c.name, got, runs-before, status)
				}
			}
		})
	}
}
