package readahead

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// framing is what the next bytes of a connection belong to.
type framing uint8

const (
	inRequestLine framing = iota
	inFields
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailers
	// framingUnknown is final: the bytes are not HTTP/1, net/http's server refuses them, or it closes
	// the connection after the last request.
	framingUnknown
)

const (
	// maxEmptyBytes is the number of bytes of empty lines that net/http's server ignores behind a
	// POST request.
	maxEmptyBytes = 4
	// maxChunkDigits is the number of digits of a chunk size that net/http's server accepts.
	maxChunkDigits = 16
)

// framer counts the whole requests, each with its head and body, in the bytes of an HTTP/1
// connection. It finds their ends as net/http's server does. The parsers of net/http can't be used
// because they wait for a reader's next bytes; a framer is fed with bytes as they arrive.
type framer struct {
	// whole is the number of requests that have arrived whole.
	whole int
	state framing
	line  partialLine
	head  headFraming
	// left is the number of bytes of the body or chunk that have not arrived.
	left int64
	// emptyBytes is the number of bytes of empty lines that are still ignored before a request line.
	emptyBytes int
}

// headFraming is what the head of a request tells about the end of the request.
type headFraming struct {
	isPost, isHTTP10 bool
	// hasLength is true if length, in bytes, is that of the body.
	hasLength bool
	length    int64
	isChunked bool
	// closes and keepsAlive are the options of the Connection field.
	closes, keepsAlive bool
	// mayContinue is true if the latest field may be continued on another line: it has no effect on
	// the framing.
	mayContinue bool
}

// add counts the requests that end in content.
func (f *framer) add(content []byte) {
	for len(content) > 0 && f.state != framingUnknown {
		switch f.state {
		case inBody, inChunk:
			content = f.skip(content)
		default:
			content = f.readLine(content)
		}
	}
}

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
		f.line.add(content)
		return nil
	}
	line := content[:end]
	if len(f.line.content) > 0 || len(line) > maxLine {
		f.line.add(line)
		line = f.line.content
	}
	f.endLine(line)
	f.line.reset()
	return content[end:]
}

// endLine interprets a line, given with its end.
func (f *framer) endLine(line []byte) {
	text := bytes.TrimSuffix(line, []byte("\n"))
	isCRLF := bytes.HasSuffix(text, []byte("\r"))
	text = bytes.TrimSuffix(text, []byte("\r"))
	switch {
	case f.state == inRequestLine:
		f.readRequestLine(text, len(line))
	case f.state == inFields && len(text) == 0:
		f.endHead()
	case f.state == inFields:
		f.readField(text)
	case !isCRLF: // net/http accepts a bare LF in heads only
		f.state = framingUnknown
	case f.state == inChunkSize:
		f.readChunkSize(text)
	case f.state == inChunkEnd && len(text) == 0:
		f.state = inChunkSize
	case f.state == inChunkEnd:
		f.state = framingUnknown
	case len(text) == 0:
		f.endRequest()
	}
}

// readRequestLine reads a request line of size bytes, its end included.
func (f *framer) readRequestLine(text []byte, size int) {
	if len(text) == 0 && size <= f.emptyBytes {
		f.emptyBytes -= size
		return
	}
	const version = "HTTP/1."
	minor, isHTTP1 := bytes.CutPrefix(text[bytes.LastIndexByte(text, ' ')+1:], []byte(version))
	if !isHTTP1 || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' || bytes.Count(text, []byte(" ")) != 2 {
		f.state = framingUnknown
		return
	}
	f.head = headFraming{isPost: bytes.HasPrefix(text, []byte("POST ")), isHTTP10: minor[0] == '0'}
	f.state = inFields
}

// readField reads a line of a head: a field, or the continuation of one.
func (f *framer) readField(text []byte) {
	if text[0] == ' ' || text[0] == '\t' {
		if !f.head.mayContinue {
			f.state = framingUnknown
		}
		return
	}
	name, value, ok := bytes.Cut(text, []byte(":"))
	if !ok || bytes.ContainsAny(name, " \t") {
		f.state = framingUnknown
		return
	}
	isFraming, isValid := f.head.read(name, bytes.Trim(value, " \t"))
	f.head.mayContinue = !isFraming
	if isFraming && (f.line.isCut || !isValid) {
		f.state = framingUnknown
	}
}

// read reads a field. It reports whether the field has an effect on the framing, and whether its value
// is valid.
func (h *headFraming) read(name, value []byte) (isFraming, isValid bool) {
	switch {
	case isName(name, "Content-Length"):
		return true, h.readLength(value)
	case isName(name, "Transfer-Encoding"):
		return true, h.readEncoding(value)
	case isName(name, "Connection"):
		h.readConnection(value)
		return true, true
	default:
		return false, true
	}
}

// isName reports whether a name is the wanted one, in any case of ASCII letters. Letters beyond ASCII
// that EqualFold takes for the same are longer.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

func (h *headFraming) readLength(value []byte) bool {
	length, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || h.hasLength && h.length != int64(length) {
		return false
	}
	h.hasLength, h.length = true, int64(length)
	return true
}

func (h *headFraming) readEncoding(value []byte) bool {
	isFirst := !h.isChunked
	h.isChunked = true
	return isFirst && isName(value, "chunked")
}

func (h *headFraming) readConnection(value []byte) {
	values := []string{string(value)}
	h.closes = h.closes || httpguts.HeaderValuesContainsToken(values, "close")
	h.keepsAlive = h.keepsAlive || httpguts.HeaderValuesContainsToken(values, "keep-alive")
}

// endHead ends the head. A request with both a length and chunks may hide another one in its body, and
// net/http ignores the chunks of HTTP/1.0.
func (f *framer) endHead() {
	switch {
	case f.head.isChunked && (f.head.hasLength || f.head.isHTTP10):
		f.state = framingUnknown
	case f.head.isChunked:
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
		f.state = framingUnknown
	case size == 0:
		f.state = inTrailers
	default:
		f.left, f.state = int64(size), inChunk
	}
}

// endRequest counts a whole request. A request that closes its connection is the last one.
func (f *framer) endRequest() {
	f.whole++
	f.state, f.emptyBytes = inRequestLine, 0
	if f.head.closes || f.head.isHTTP10 && !f.head.keepsAlive {
		f.state = framingUnknown
	}
	if f.head.isPost {
		f.emptyBytes = maxEmptyBytes
	}
}

const (
	// maxLine is the number of bytes of a line that are kept: enough for a field that frames a body.
	maxLine = 512
	// lineTail is the number of bytes that are kept from the end of a longer line: enough for the
	// version in a request line.
	lineTail = 16
)

// partialLine holds a line of which a part has arrived. Of a line longer than maxLine it holds the
// beginning and the last lineTail bytes.
type partialLine struct {
	content []byte
	// isCut is true if bytes between them were dropped.
	isCut bool
}

func (l *partialLine) add(part []byte) {
	if l.content == nil {
		l.content = make([]byte, 0, maxLine)
	}
	fits := min(len(part), maxLine-len(l.content))
	l.content = append(l.content, part[:fits]...)
	part = part[fits:]
	if len(part) == 0 {
		return
	}
	l.isCut = true
	part = part[max(0, len(part)-lineTail):]
	tail := l.content[maxLine-lineTail:]
	copy(tail, tail[len(part):])
	copy(tail[lineTail-len(part):], part)
}

func (l *partialLine) reset() { l.content, l.isCut = l.content[:0], false }
