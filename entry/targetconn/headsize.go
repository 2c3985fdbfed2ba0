package targetconn

import (
	"bytes"
	"errors"
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
	// statusCodeAt is the position of the status code in a status line.
	statusCodeAt = len("HTTP/1.1 ")
)

// Why the head of a response is not read to its end.
var (
	errHeadTooLong  = errors.New("the head of the response has too many lines")
	errNoHeadMemory = errors.New("there is no memory for the head of the response")
)

// headSize measures the head of a response while it arrives, together with the interim responses
// before it. net/http bounds the bytes of a head only, and keeps what it has parsed while the rest is
// missing, which is many times as much for short fields. The zero value is ready for a response.
type headSize struct {
	bytes, lines int
	// lineBytes is the length of the current line so far, without its end.
	lineBytes int
	// hasStatusLine is true once the status line of the current response is complete; isInterim
	// whether its status code is 1xx.
	hasStatusLine, isInterim bool
	// isDone is true once the head of the final response is complete.
	isDone bool
}

// memory returns about how many bytes the head needs in memory while it is read.
func (h *headSize) memory() int64 { return int64(textCopies*h.bytes + lineMemory*h.lines) }

// observe adds the next bytes of the response, which may be any part of it.
func (h *headSize) observe(p []byte) {
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
func (h *headSize) addText(part []byte) {
	h.bytes += len(part)
	if i := statusCodeAt - h.lineBytes; !h.hasStatusLine && i >= 0 && i < len(part) {
		h.isInterim = part[i] == '1'
	}
	h.lineBytes += len(bytes.TrimSuffix(part, []byte("\r")))
}

// endLine ends a line. An empty one ends the head; after an interim response, another head follows.
func (h *headSize) endLine() {
	h.lines++
	switch {
	case h.lineBytes > 0:
		h.hasStatusLine = true
	case h.hasStatusLine && h.isInterim:
		h.hasStatusLine, h.isInterim = false, false
	case h.hasStatusLine:
		h.isDone = true
	}
	h.lineBytes = 0
}
