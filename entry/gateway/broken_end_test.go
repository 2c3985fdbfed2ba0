package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// beginsAndResets answers, once it has read a part of the body, with the begin of a response without a length, and
// resets the connection after a time.
func beginsAndResets(after, length int, wait time.Duration) uploadBehavior {
	return func(_ *uploadHarness, out http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, int64(after))
		conn, _, err := out.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: sealed\r\nConnection: close\r\n\r\n%s", r.Header.Get("Id"), pattern(length))
		time.Sleep(wait)
		_ = conn.(interface{ SetLinger(int) error }).SetLinger(0)
		_ = conn.Close()
	}
}

// TestResetDuringAnUploadIsNoEnd guards against callers who get a part of a response without a length for all of it,
// since the write of the upload took the error of the reset: directly and by another VM, held and streamed, tried
// once and again.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		for _, path := range []string{oncePath, patientPath} {
			for _, length := range []int{20_000, 400_000, 3 << 19} {
				for _, wait := range []time.Duration{0, 7 * time.Millisecond, 30 * time.Millisecond} {
					resets := beginsAndResets(256<<10, length, wait)
					withUploads(t, []uploadBehavior{resets, resets, resets}, func(h *uploadHarness) {
						if isForwarded {
							h.gateway.options.Carriers = otherVM{client: h.startOther(h.newOtherGateway().Forward), isPrimary: true}
						}
						for _, isChunked := range []bool{false, true} {
							u := upload{path: path + "1", content: pattern(4 << 20), isChunked: isChunked, pause: time.Millisecond}
							status, content, err := h.sendUpload(u)
							if err == nil && status == http.StatusOK {
								t.Errorf("forwarded: %v, %s, chunked: %v, reset after %v: %d of %d bytes are a whole response", isForwarded, path, isChunked, wait, len(content), length)
							}
						}
					})
				}
			}
		}
	}
}
