package targetconn

import "testing"

// TestChunksOfHTTP10AreFound guards against the framing of chunks that is taken for content, however
// the head arrives, and against responses of other versions that are taken for faulty.
func TestChunksOfHTTP10AreFound(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n0": true,
		"HTTP/1.0 200 OK\ntransfer-encoding: chunked\n\n0":               true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0":         false,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":      false,
		"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n":       false,
	} {
		for size := 1; size <= len(text); size++ {
			var head http10Head
			for at := 0; at < len(text); at += size {
				head.observe([]byte(text[at:min(at+size, len(text))]))
			}
			if got := head.hasTransferEncoding(); got != want {
				t.Errorf("%q in parts of %d: %v, want %v", text, size, got, want)
			}
		}
	}
}
