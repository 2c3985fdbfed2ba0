package daemon

import (
	"net/http"
	"testing"
)

// TestRequestWithTwoLengthsIsRefused guards against a request in the body of one that names both a length
// and chunks, which runs since a proxy before the VM has taken the length.
func TestRequestWithTwoLengthsIsRefused(t *testing.T) {
	inWorld(t, 1, func(w *world) {
		text := "POST /bookings HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		if status, err := w.sendRaw(vmIP(0)+":80", text); status != http.StatusBadRequest || err != nil {
			t.Errorf("status %d, %v, want 400", status, err)
		}
	})
}
