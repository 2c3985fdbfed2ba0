package framing

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
