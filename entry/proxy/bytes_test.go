package proxy

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"testing"
)

// TestForwardedBytesAreThoseOfADirectRequest guards against work that ran and is answered with an error, and
// against changed bytes, when another VM carries a request whose fields HTTP allows and that are not UTF-8:
// with a key, and from a VM that reaches no target.
func TestForwardedBytesAreThoseOfADirectRequest(t *testing.T) {
	const field, trailing = "J\xf5hvi \xff\x80", "\xe4\xf6"
	withFleet(t, 3, twoTargets(), func(t *testing.T, f *fleet) {
		var arrived []string
		startScriptedTargets(t, f, func(r *http.Request) string {
			body, _ := io.ReadAll(r.Body)
			arrived = []string{r.Method, r.Host, r.RequestURI, r.Header.Get("X-Place"), string(body)}
			return "HTTP/1.1 200 OK\r\nPrimroseloom-Correlation: $C\r\nX-Place: " + field + "\r\nX-Place: " + trailing + "\r\nContent-Length: 4\r\n\r\n\xf5\x00\xffz"
		})
		for i := range twoTargets() {
			f.network.Refuse(vmIP(2), targetIP(i), true)
		}
		var direct []string
		var directAnswer callerResponse
		for i, vm := range []int{1, 0, 2} { // the VM of the key, one that forwards, one without targets
			header := f.vms[1].keyHeader("order-"+strconv.Itoa(i)) + "\r\nX-Place: " + field
			got := f.send(vm, http.MethodPost, "/book?place=J\xf5hvi", "\xf5\x00body", header)
			if i == 0 {
				direct, directAnswer = arrived, got
			}
			if got.status != http.StatusOK || got.body != "\xf5\x00\xffz" || !slices.Equal(got.header.Values("X-Place"), []string{field, trailing}) {
				t.Errorf("VM %d: status %d, %q, body %q", vm, got.status, got.header, got.body)
			}
			if !slices.Equal(arrived, direct) || !maps.EqualFunc(got.header, directAnswer.header, slices.Equal) {
				t.Errorf("VM %d: the target got %q and the caller %q; of a direct request %q and %q", vm, arrived, got.header, direct, directAnswer.header)
			}
		}
		got := f.send(2, http.MethodGet, "/?place=J\xf5hvi", "", "X-Place: "+field)
		if got.status != http.StatusOK || arrived[3] != field || got.body != "\xf5\x00\xffz" {
			t.Errorf("without a key: status %d, body %q, the target got %q", got.status, got.body, arrived)
		}
	})
}
