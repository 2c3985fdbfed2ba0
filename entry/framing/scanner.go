package framing

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	// maxField is the number of bytes of a field that are kept; those of a length are shorter.
	maxField = 256
	// maxChunkLine is the number of bytes of a chunk's first line that net/http accepts.
	maxChunkLine = 4096
	// chunkEndBytes is the length of the line end behind the content of a chunk.
	chunkEndBytes = 2
	// preface begins a connection of HTTP/2.
	preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
)

// part is the part of a connection that the next bytes belong to.
type part int

const (
	partPreface part = iota
	partRequestLine
	partFields
	partBody
	partChunkLine
	partChunk
	partTrailer
	// partOther is a connection of HTTP/2.
	partOther
)

// scanner follows the requests of a connection, to find those with two lengths. It is as strict as
// net/http's server, or stricter: where it loses track, the request is refused.
type scanner struct {
	part part
	// matched is the number of bytes that match preface.
	matched int
	// line is the line that is being read: its last bytes for a request line, its first ones otherwise;
	// isCut is true when others are left out.
	line  []byte
	isCut bool
	// isOld is true for a request of HTTP/1.0, which has no chunks.
	isOld bool
	// length is the value of the first Content-Length; hasLength and hasEncoding are true once the
	// request has a Content-Length and a Transfer-Encoding.
	length                 string
	hasLength, hasEncoding bool
	// isLengthLine is true when the latest field is the first Content-Length, which the next line
	// may continue.
	isLengthLine bool
	// left is the number of bytes left of the body, or of the chunk with its line end.
	left int64
}

// scan follows the bytes that have arrived. When a request has to be refused, ok is false and scanned
// is the number of bytes up to the end of the line that tells so.
func (s *scanner) scan(content []byte) (scanned int, ok bool) {
	for scanned < len(content) {
		rest := content[scanned:]
		switch s.part {
		case partOther:
			return len(content), true
		case partPreface:
			scanned += s.matchPreface(rest[0])
		case partBody, partChunk:
			scanned += s.skip(rest)
		default:
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				s.keep(rest)
				return len(content), true
			}
			s.keep(rest[:end+1])
			scanned += end + 1
			if !s.endLine() {
				return scanned, false
			}
		}
	}
	return scanned, true
}

// matchPreface compares the next byte with the preface of HTTP/2 and returns the number of bytes used.
// Those of another connection are the begin of its first request.
func (s *scanner) matchPreface(next byte) int {
	if next == preface[s.matched] {
		s.matched++
		if s.matched == len(preface) {
			s.part = partOther
		}
		return 1
	}
	s.part = partRequestLine
	_, _ = s.scan([]byte(preface[:s.matched])) // it names no length
	return 0
}

// skip skips the rest of a body or of a chunk, and returns the number of bytes skipped.
func (s *scanner) skip(content []byte) int {
	n := int(min(s.left, int64(len(content))))
	s.left -= int64(n)
	if s.left == 0 && s.part == partChunk {
		s.part = partChunkLine
	} else if s.left == 0 {
		s.begin()
	}
	return n
}

// begin begins the next request.
func (s *scanner) begin() { *s = scanner{part: partRequestLine, line: s.line[:0]} }

// keep adds bytes to the line.
func (s *scanner) keep(content []byte) {
	s.line = append(s.line, content...)
	limit := maxField
	if s.part == partChunkLine {
		limit = maxChunkLine
	}
	switch over := len(s.line) - limit; {
	case over <= 0:
		return
	case s.part == partRequestLine:
		s.line = append(s.line[:0], s.line[over:]...)
	default:
		s.line, s.isCut = s.line[:limit], true
	}
}

// endLine evaluates the line that has ended; false means that the request is to be refused.
func (s *scanner) endLine() bool {
	line, isCut := bytes.TrimRight(s.line, "\r\n"), s.isCut
	s.line, s.isCut = s.line[:0], false
	switch s.part {
	case partRequestLine:
		if len(line) > 0 { // the server skips empty lines behind a body, and refuses others
			s.isOld, s.part = bytes.HasSuffix(line, []byte("HTTP/1.0")), partFields
		}
		return true
	case partChunkLine:
		return !isCut && s.beginChunk(line)
	case partTrailer:
		if len(line) == 0 {
			s.begin()
		}
		return true
	}
	if len(line) == 0 {
		return s.endHead()
	}
	return s.addField(line, isCut)
}

// addField evaluates a field of the head.
func (s *scanner) addField(line []byte, isCut bool) bool {
	if line[0] == ' ' || line[0] == '\t' {
		if s.isLengthLine {
			s.length += string(line)
		}
		return !s.isLengthLine || !isCut && len(s.length) <= maxField
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	isLength, isEncoding := bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding"))
	s.isLengthLine = isLength && !s.hasLength
	if s.isLengthLine {
		s.length = string(value)
	}
	s.hasLength, s.hasEncoding = s.hasLength || isLength, s.hasEncoding || isEncoding
	isContradictory := s.hasLength && s.hasEncoding
	return !isContradictory && !(isCut && s.isLengthLine)
}

// endHead finds out where the body of a request ends.
func (s *scanner) endHead() bool {
	switch {
	case s.hasEncoding && !s.isOld:
		s.part = partChunkLine
		return true
	case !s.hasLength:
		s.begin()
		return true
	}
	length, err := strconv.ParseInt(strings.Trim(s.length, " \t"), 10, 64)
	if err != nil || length < 0 {
		return false
	}
	s.part, s.left = partBody, length
	if length == 0 {
		s.begin()
	}
	return true
}

// beginChunk evaluates the first line of a chunk.
func (s *scanner) beginChunk(line []byte) bool {
	size, _, _ := bytes.Cut(line, []byte(";"))
	length, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), 16, 64)
	if err != nil || length < 0 || length > 1<<62 {
		return false
	}
	s.part, s.left = partChunk, length+chunkEndBytes
	if length == 0 {
		s.part = partTrailer
	}
	return true
}
