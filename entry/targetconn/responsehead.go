package targetconn

import (
	"bytes"
	"errors"
	"strings"
)

const (
	// maxHeadLines is the maximum number of lines of a response's head, those of the interim
	// responses (1xx) before it included.
	maxHeadLines = 1000
	// lineMemory is about what a parsed field needs beside its text, in bytes: an entry of the
	// header map, a slice of one value, and two strings.
	lineMemory = 160
	// textCopies is how many times the text of a head is held while it is read.
	textCopies = 2
	// usualHeadBytes is the memory for a head that needs no reservation of its own.
	usualHeadBytes = 16 << 10

	// http10Version is how a response of HTTP/1.0 begins.
	http10Version = "HTTP/1.0"
	// statusCodeAt is the position of the status code in a status line.
	statusCodeAt = len(http10Version + " ")
	// encodingField is the name of the field that a response of HTTP/1.0 must not have.
	encodingField = "Transfer-Encoding"
)

// Why the head of a response is not read to its end.
var (
	errHeadTooLong  = errors.New("the head of the response has too many lines")
	errNoHeadMemory = errors.New("there is no memory for the head of the response")
)

// responseHead follows the lines of a response's head while it arrives, and of the interim responses
// before it. The zero value is ready for a response.
//
// It measures the head: net/http bounds its bytes only, and keeps what it has parsed while the rest is
// missing, which is many times as much for short fields.
//
// It also detects a Transfer-Encoding in a response of HTTP/1.0. net/http drops that field and returns the
// chunk sizes as part of the body, up to the end of the connection. RFC 9112, section 6.1, has such a
// message treated as one with faulty framing.
type responseHead struct {
	bytes, lines int
	// lineBytes is the length of the current line so far, without its end; start holds its begin.
	lineBytes int
	start     [len(encodingField) + 1]byte
	// hasStatusLine is true once the status line of the current response is complete; isInterim is
	// whether its status code is 1xx, isHTTP10 whether it is of HTTP/1.0.
	hasStatusLine, isInterim, isHTTP10 bool
	// hasFaultyEncoding is true when the response is of HTTP/1.0 and has a Transfer-Encoding.
	hasFaultyEncoding bool
	// isDone is true once the head of the final response is complete.
	isDone bool
}

// memory returns about how many bytes the head needs in memory while it is read.
func (h *responseHead) memory() int64 { return int64(textCopies*h.bytes + lineMemory*h.lines) }

// observe adds the next bytes of the response, which may be any part of it.
func (h *responseHead) observe(p []byte) {
	for len(p) > 0 && !h.isDone {
		line, rest, isComplete := bytes.Cut(p, []byte("\n"))
		h.addText(line)
		if isComplete {
			h.endLine()
		}
		p = rest
	}
}

// addText adds a part of a line, without the line feed.
func (h *responseHead) addText(part []byte) {
	h.bytes += len(part)
	part = bytes.TrimSuffix(part, []byte("\r"))
	copy(h.start[min(h.lineBytes, len(h.start)):], part)
	h.lineBytes += len(part)
}

// endLine ends a line. An empty one ends the head; after an interim response, another head follows.
func (h *responseHead) endLine() {
	h.lines++
	start := h.start[:min(h.lineBytes, len(h.start))]
	h.lineBytes = 0
	switch {
	case len(start) > 0 && !h.hasStatusLine:
		h.hasStatusLine = true
		h.isHTTP10 = bytes.HasPrefix(start, []byte(http10Version))
		h.isInterim = len(start) > statusCodeAt && start[statusCodeAt] == '1'
	case len(start) > 0:
		name, _, isField := bytes.Cut(start, []byte(":"))
		isEncoding := isField && strings.EqualFold(string(name), encodingField)
		h.hasFaultyEncoding = h.hasFaultyEncoding || h.isHTTP10 && isEncoding
	case h.isInterim:
		h.hasStatusLine, h.isInterim, h.isHTTP10 = false, false, false
	case h.hasStatusLine:
		h.isDone = true
	}
}
