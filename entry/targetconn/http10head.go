package targetconn

import (
	"bytes"
	"strings"
)

// http10Version is how a response of HTTP/1.0 begins.
const http10Version = "HTTP/1.0"

// http10Head collects the head of a response of HTTP/1.0, to detect a Transfer-Encoding in it.
// net/http drops that field from a response of HTTP/1.0 and returns the chunk sizes as part of the
// body, up to the end of the connection. RFC 9112, section 6.1, has such a message treated as one
// with faulty framing. The zero value is ready for a response.
type http10Head struct {
	kept []byte
	// isDone is true once the head is complete, too long, or of another version.
	isDone bool
}

// observe adds the next bytes of the response, which may be any part of its head.
func (h *http10Head) observe(p []byte) {
	if h.isDone {
		return
	}
	if len(h.kept) == 0 && len(p) >= len(http10Version) && !bytes.HasPrefix(p, []byte(http10Version)) {
		h.isDone = true
		return
	}
	h.kept = append(h.kept, p...)
	switch {
	case len(h.kept) >= len(http10Version) && !bytes.HasPrefix(h.kept, []byte(http10Version)):
		h.kept, h.isDone = nil, true
	case bytes.Contains(h.kept, []byte("\n\r\n")), bytes.Contains(h.kept, []byte("\n\n")), len(h.kept) > maxResponseHeadBytes:
		h.isDone = true
	}
}

// hasTransferEncoding reports whether the response is of HTTP/1.0 and has a Transfer-Encoding.
func (h *http10Head) hasTransferEncoding() bool {
	for line := range bytes.Lines(h.kept) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return false
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); strings.EqualFold(string(name), "Transfer-Encoding") {
			return true
		}
	}
	return false
}
