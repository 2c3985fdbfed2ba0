package framing

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// headFraming is what the head of a request tells about the end of the request.
type headFraming struct {
	isPost bool
	// isBefore11 is true for a request of a version before HTTP/1.1, in which net/http ignores a
	// Transfer-Encoding.
	isBefore11 bool
	// latest is the kind of the latest field, which the next line may continue.
	latest fieldKind
	// hasLength and hasEncoding are true if the head has a Content-Length and a Transfer-Encoding.
	hasLength, hasEncoding bool
	// isValueMissing is true if the value of the latest field, one of these two, has not arrived.
	isValueMissing bool
	// length is the value of the Content-Length, in bytes; isLengthKnown is true once it has arrived.
	length        int64
	isLengthKnown bool
	// isChunked is true once a Transfer-Encoding was chunked; isUnsupported is true if net/http's server
	// answers 501 to the encodings and closes the connection.
	isChunked, isUnsupported bool
	// closes is true if the connection closes, or may close, after the request; keepsAlive is the option
	// of the Connection field.
	closes, keepsAlive bool
}

// fieldKind tells fields that frame a body apart from others.
type fieldKind uint8

const (
	noField fieldKind = iota
	otherField
	lengthField
	encodingField
	connectionField
)

func kindOf(name []byte) fieldKind {
	switch {
	case isName(name, "Content-Length"):
		return lengthField
	case isName(name, "Transfer-Encoding"):
		return encodingField
	case isName(name, "Connection"):
		return connectionField
	default:
		return otherField
	}
}

// isName reports whether a name is the wanted one, in any case of ASCII letters. Letters beyond ASCII
// that EqualFold takes for the same are longer.
func isName(name []byte, want string) bool {
	return len(name) == len(want) && bytes.EqualFold(name, []byte(want))
}

// readField reads the line of a field. It returns why the request has to be refused, or accepted.
func (h *headFraming) readField(text []byte, isCut bool) Reason {
	name, value, hasColon := bytes.Cut(text, []byte(":"))
	isLongName := isCut && !hasColon
	if h.isValueMissing || !isLongName && (!hasColon || bytes.ContainsAny(name, " \t")) {
		return Malformed
	}
	h.latest = kindOf(name)
	switch h.latest {
	case lengthField:
		h.hasLength = true
	case encodingField:
		h.hasEncoding = true
	}
	if h.hasLength && h.hasEncoding {
		return TwoLengths
	}
	return h.readValue(value, isCut)
}

// continueField reads a line that continues the latest field.
func (h *headFraming) continueField(text []byte, isCut bool) Reason {
	switch text = bytes.Trim(text, " \t"); {
	case h.latest == noField:
		return Malformed
	case h.latest == connectionField:
		h.closes = true // an option may be split between the lines
		return accepted
	case h.latest == otherField || len(text) == 0:
		return accepted
	case !h.isValueMissing: // a length or an encoding of two words
		return Malformed
	}
	return h.readValue(text, isCut)
}

// readValue reads the value, or the first part of it, of the latest field.
func (h *headFraming) readValue(value []byte, isCut bool) Reason {
	if h.latest == otherField {
		return accepted
	}
	value = bytes.Trim(value, " \t")
	if h.latest == connectionField {
		h.readConnection(value, isCut)
		return accepted
	}
	h.isValueMissing = len(value) == 0
	switch {
	case isCut:
		return Malformed
	case h.isValueMissing:
		return accepted
	case h.latest == lengthField:
		return h.readLength(value)
	}
	h.isUnsupported = h.isChunked || !isName(value, "chunked")
	h.isChunked = true
	return accepted
}

func (h *headFraming) readLength(value []byte) Reason {
	length, err := strconv.ParseUint(string(value), 10, 63)
	switch {
	case err != nil:
		return Malformed
	case h.isLengthKnown && h.length != int64(length):
		return TwoLengths
	}
	h.isLengthKnown, h.length = true, int64(length)
	return accepted
}

func (h *headFraming) readConnection(value []byte, isCut bool) {
	values := []string{string(value)}
	h.closes = h.closes || isCut || httpguts.HeaderValuesContainsToken(values, "close")
	h.keepsAlive = h.keepsAlive || httpguts.HeaderValuesContainsToken(values, "keep-alive")
}
