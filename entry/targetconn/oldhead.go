package targetconn

import (
	"bytes"
	"strings"
)

// oldVersion is how a response of HTTP/1.0 begins.
const oldVersion = "HTTP/1.0"

// oldHead keeps the head of a response of HTTP/1.0 as it arrives, of which net/http drops
// Transfer-Encoding: it takes the framing of the chunks for content, and the end of the connection
// for that of the content (RFC 9112, 6.1: the framing of such a message is faulty).
type oldHead struct {
	kept []byte
	// isDone is true once the head is complete or of another version.
	isDone bool
}

// observe takes the next bytes of the response.
func (h *oldHead) observe(p []byte) {
	if h.isDone {
		return
	}
	if len(h.kept) == 0 && len(p) >= len(oldVersion) && !bytes.HasPrefix(p, []byte(oldVersion)) {
		h.isDone = true
		return
	}
	h.kept = append(h.kept, p...)
	switch {
	case len(h.kept) >= len(oldVersion) && !bytes.HasPrefix(h.kept, []byte(oldVersion)):
		h.kept, h.isDone = nil, true
	case bytes.Contains(h.kept, []byte("\n\r\n")), bytes.Contains(h.kept, []byte("\n\n")), len(h.kept) > maxResponseHeadBytes:
		h.isDone = true
	}
}

// hasTransferEncoding reports whether the response is of HTTP/1.0 and has a Transfer-Encoding.
func (h *oldHead) hasTransferEncoding() bool {
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
