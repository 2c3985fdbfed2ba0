package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestUploadAnsweredEarlyIsNotReadByTwo guards against a target that begins its response before it
// has read the body, reads on and gets a body of which a part is missing: net/http's server
// discards a part of the caller's body, which the attempt still sends, when a response is written.
func TestUploadAnsweredEarlyIsNotReadByTwo(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		for _, isChunked := range []bool{true, false} {
			for _, c := range []struct{ length, last int }{{0, 0}, {100, 0}, {300_000, 0}, {300_000, 1000}, {3 << 19, 0}, {3 << 19, 1000}} {
				for _, after := range []int{0, 700_000, 5 << 18, 1<<22 - 100_000} {
					length := c.length
					withUploads(t, []uploadBehavior{answersAcross(after, http.StatusOK, length, c.last)}, func(h *uploadHarness) {
						if isForwarded {
							h.gateway.options.Carriers = otherVM{client: h.startOther(h.newOtherGateway().Forward), isPrimary: true}
						}
						name := fmt.Sprintf("forwarded: %v, chunked: %v, %d bytes after %d, %d after the body", isForwarded, isChunked, length, after, c.last)
						u := upload{path: patientPath + "1", content: pattern(4 << 20), isChunked: isChunked}
						status, content, err := h.sendUpload(u)
						if err != nil || status != http.StatusOK || !bytes.Equal(content, pattern(length)) {
							t.Errorf("%s: status %d, %d bytes, %v", name, status, len(content), err)
						}
						time.Sleep(patientTimeout)
						h.check(name, u.content)
					})
				}
			}
		}
	}
}

// TestEarlyAnswerDoesNotWaitForTheBody guards against a response that is held back, or lost, while
// the caller of an upload sends nothing.
func TestEarlyAnswerDoesNotWaitForTheBody(t *testing.T) {
	for _, isForwarded := range []bool{false, true} {
		for _, length := range []int{100, 3 << 19} {
			withUploads(t, []uploadBehavior{answersAfter(5<<18, http.StatusOK, length)}, func(h *uploadHarness) {
				if isForwarded {
					h.gateway.options.Carriers = otherVM{client: h.startOther(h.newOtherGateway().Forward), isPrimary: true}
				}
				u := upload{path: patientPath + "1", content: pattern(4 << 20), isChunked: true, stallAfter: 5<<18 + 100_000, stall: time.Second}
				began := time.Now()
				status, content, err := h.sendUpload(u)
				if took := time.Since(began); err != nil || status != http.StatusOK || len(content) != length || took >= u.stall {
					t.Errorf("forwarded: %v, %d bytes: status %d, %d bytes, %v, after %v", isForwarded, length, status, len(content), err, took)
				}
				time.Sleep(patientTimeout)
				h.check("early", u.content)
			})
		}
	}
}

// TestConnectionEndsWithAResponseBeforeTheBody guards against the rest of a body that is taken for
// the next request of its connection.
func TestConnectionEndsWithAResponseBeforeTheBody(t *testing.T) {
	withUploads(t, []uploadBehavior{answersAfter(5<<18, http.StatusOK, 100)}, func(h *uploadHarness) {
		conn, err := h.network.Host("10.9.0.1").DialContext(h.t.Context(), "tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		begin := fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nId: r1\r\nLeft: 4000\r\nContent-Length: %d\r\n\r\n", patientPath, host, 3<<20)
		go func() {
			_, _ = io.WriteString(conn, begin)
			_, _ = conn.Write(pattern(2 << 20))
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(conn, "GET "+safePath+"smuggled HTTP/1.1\r\nHost: "+host+"\r\nId: r2\r\n\r\n")
		}()
		got, _ := io.ReadAll(conn)
		if !bytes.HasPrefix(got, []byte("HTTP/1.1 200 ")) || bytes.Count(got, []byte("HTTP/1.1 ")) != 1 || !bytes.Contains(got, []byte("Connection: close\r\n")) {
			t.Errorf("%.300q", got)
		}
		if h.total() != 1 {
			t.Errorf("%d requests ran", h.total())
		}
	})
}
