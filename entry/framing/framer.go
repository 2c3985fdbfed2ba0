package framing

import (
	"bytes"
	"net/http"
	"strconv"
)

// framerState is what the next bytes of a connection belong to.
type framerState uint8

const (
	inRequestLine framerState = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailers
	// ignored is final: the connection is one of HTTP/2, or net/http's server closes it after the head.
	ignored
	// refused is final: the request has two lengths, or its end can't be found.
	refused
)

// Reason is why a request is refused.
type Reason string

// The reasons.
const (
	accepted Reason = ""
	// TwoLengths means that a request has a Content-Length and a Transfer-Encoding, or two lengths.
	TwoLengths Reason = "two_lengths"
	// Malformed means that the end of a request can't be found.
	Malformed Reason = "malformed"
	// NoMemory means that there is no memory for what the connection keeps.
	NoMemory Reason = "no_memory"
)

const (
	// maxEmptyBytes is the number of bytes of empty lines that net/http's server ignores behind a
	// POST request.
	maxEmptyBytes = 4
	// maxChunkDigits is the number of digits of a chunk size that net/http's server accepts.
	maxChunkDigits = 16
)

// prefaceLines are the lines by which a connection of HTTP/2 begins.
var prefaceLines = []string{"PRI * HTTP/2.0", "", "SM"}

// framer follows the requests, each with its head and body, in the bytes of an HTTP/1 connection. It
// counts the whole ones and refuses those with two lengths. It finds their ends as net/http's server does
// and is as strict or stricter: where it can't find the end, it refuses the request. The parsers of
// net/http can't be used because they wait for a reader's next bytes; a framer is fed with bytes as they
// arrive.
type framer struct {
	// whole is the number of requests that have arrived whole. Requests are not counted once
	// isUncounted is true, since the server closes the connection, or may, before it reads them.
	whole       int
	isUncounted bool
	state       framerState
	// reason is why the request is refused.
	reason Reason
	line   partialLine
	head   headFraming
	// headSize is the number of bytes of the head that have arrived, headFields that of its fields; 0 once
	// the request has arrived.
	headSize, headFields int
	// left is the number of bytes of the body or chunk that have not arrived.
	left int64
	// emptyBytes is the number of bytes of empty lines that are still ignored before a request line.
	emptyBytes int
	// preface is the number of prefaceLines that have arrived; isHTTP1 is true once another line has.
	preface int
	isHTTP1 bool
}

// add follows the bytes that have arrived. It returns the number of bytes up to the end of the line for
// which a request is refused, or else that of all.
func (f *framer) add(content []byte) (followed int) {
	rest := content
	for len(rest) > 0 && f.state < ignored {
		switch f.state {
		case inBody, inChunk:
			rest = f.skip(rest)
		default:
			rest = f.readLine(rest)
		}
	}
	if f.state == refused {
		return len(content) - len(rest)
	}
	return len(content)
}

// isPartial reports whether a part of a request has arrived and not all of it, as far as it is followed.
func (f *framer) isPartial() bool {
	return f.state != ignored && (f.state != inRequestLine || len(f.line.content) > 0)
}

// refuse ends the following of a request that is refused for a reason.
func (f *framer) refuse(reason Reason) { f.state, f.reason = refused, reason }

// skip skips bytes of a body or chunk and returns those behind it.
func (f *framer) skip(content []byte) (rest []byte) {
	n := min(f.left, int64(len(content)))
	f.left -= n
	switch {
	case f.left > 0:
	case f.state == inBody:
		f.endRequest()
	default:
		f.state = inChunkEnd
	}
	return content[n:]
}

// readLine reads up to the end of a line and returns the bytes behind it.
func (f *framer) readLine(content []byte) (rest []byte) {
	end := bytes.IndexByte(content, '\n') + 1
	if end == 0 {
		f.countHead(content)
		f.line.add(content)
		return nil
	}
	f.countHead(content[:end])
	line := content[:end]
	if len(f.line.content) > 0 || len(line) > maxLine {
		f.line.add(line)
		line = f.line.content
	}
	f.endLine(line)
	f.line.reset()
	return content[end:]
}

// countHead counts bytes of a head.
func (f *framer) countHead(content []byte) {
	if f.state == inRequestLine || f.state == inFields {
		f.headSize += len(content)
	}
}

// keptBytes returns what net/http's server keeps of the head that is arriving, or of the connection.
func (f *framer) keptBytes() int64 {
	if f.isHTTP2Conn() {
		return http2Bytes
	}
	return HeadBytes(f.headSize, f.headFields)
}

// endLine interprets a line, given with its end.
func (f *framer) endLine(line []byte) {
	text := bytes.TrimSuffix(line, []byte("\n"))
	isCRLF := bytes.HasSuffix(text, []byte("\r"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	switch {
	case f.isHTTP2(text):
		f.state = ignored
	case f.state == inRequestLine:
		f.readRequestLine(text, len(line))
	case f.state == inFields && len(text) == 0:
		f.endHead()
	case f.state == inFields:
		f.readField(text)
	case !isCRLF: // net/http accepts a bare LF in heads only
		f.refuse(Malformed)
	case f.state == inChunkSize:
		f.readChunkSize(text)
	case f.state == inChunkEnd && len(text) == 0:
		f.state = inChunkSize
	case f.state == inChunkEnd:
		f.refuse(Malformed)
	case len(text) == 0:
		f.endRequest()
	}
}

// isHTTP2Conn reports whether the beginning of a connection of HTTP/2 has arrived.
func (f *framer) isHTTP2Conn() bool { return f.preface == len(prefaceLines) }

// isHTTP2 reports whether a line is the last one of those by which a connection of HTTP/2 begins.
func (f *framer) isHTTP2(text []byte) bool {
	if f.isHTTP1 {
		return false
	}
	if string(text) != prefaceLines[f.preface] {
		f.isHTTP1 = true
		return false
	}
	f.preface++
	return f.preface == len(prefaceLines)
}

// readRequestLine reads a request line of size bytes, its end included.
func (f *framer) readRequestLine(text []byte, size int) {
	if len(text) == 0 && size <= f.emptyBytes {
		f.emptyBytes -= size
		return
	}
	version := text[bytes.LastIndexByte(text, ' ')+1:]
	major, minor, isVersion := http.ParseHTTPVersion(string(version))
	if !isVersion || !f.line.isCut && bytes.Count(text, []byte(" ")) != 2 {
		f.refuse(Malformed)
		return
	}
	f.isUncounted = f.isUncounted || major != 1
	f.head = headFraming{isPost: bytes.HasPrefix(text, []byte("POST ")), isBefore11: major < 1 || major == 1 && minor == 0}
	f.state = inFields
}

// readField reads a line of a head: a field, or the continuation of one.
func (f *framer) readField(text []byte) {
	var reason Reason
	f.headFields++
	if text[0] == ' ' || text[0] == '\t' {
		reason = f.head.continueField(text, f.line.isCut)
	} else {
		reason = f.head.readField(text, f.line.isCut)
	}
	if reason != accepted {
		f.refuse(reason)
	}
}

// endHead ends the head.
func (f *framer) endHead() {
	isChunked := f.head.hasEncoding && !f.head.isBefore11
	switch {
	case f.head.isValueMissing:
		f.refuse(Malformed)
	case isChunked && f.head.isUnsupported:
		f.state = ignored
	case isChunked:
		f.state = inChunkSize
	case f.head.length > 0:
		f.left, f.state = f.head.length, inBody
	default:
		f.endRequest()
	}
}

// readChunkSize reads the line before a chunk: its size in hexadecimal digits and, behind a
// semicolon, extensions.
func (f *framer) readChunkSize(text []byte) {
	digits, _, hasExtension := bytes.Cut(text, []byte(";"))
	if !hasExtension {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	switch {
	case err != nil || len(digits) > maxChunkDigits:
		f.refuse(Malformed)
	case size == 0:
		f.state = inTrailers
	default:
		f.left, f.state = int64(size), inChunk
	}
}

// endRequest counts a whole request. A request that closes its connection is the last one counted.
func (f *framer) endRequest() {
	if !f.isUncounted {
		f.whole++
	}
	f.isUncounted = f.isUncounted || f.head.closes || f.head.isBefore11 && !f.head.keepsAlive
	f.state, f.emptyBytes = inRequestLine, 0
	f.headSize, f.headFields = 0, 0
	if f.head.isPost {
		f.emptyBytes = maxEmptyBytes
	}
}
