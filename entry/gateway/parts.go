package gateway

import (
	"errors"
	"io"
	"sync"
)

// Sizes of the buffers in which a response is held, in bytes.
const (
	// smallPart holds most responses.
	smallPart = 4 << 10
	// largePart is the size of the further buffers; a link of 10 Mbit/s carries one in 13 ms.
	largePart = 16 << 10
)

// partPool holds buffers of largePart bytes that were delivered. Only responses within a
// budget use it.
var partPool = sync.Pool{New: func() any { return new([largePart]byte) }}

// parts holds a response, or its begin, in buffers. Unlike one growing buffer, they are never
// copied, and each is given back once it was delivered.
type parts struct {
	list [][]byte
	// size is the length of the content, held the size of the buffers, in bytes.
	size, held int64
	hold       *hold
}

// read reads the source until its end, until more than limit bytes were read, or until the
// budget has no room for another buffer. complete is true at the end of the source. expected
// is the length of the content, -1 when it is not known; when there is no room for all of
// it, one buffer is read.
func (p *parts) read(source io.Reader, expected, limit int64) (complete bool, err error) {
	if !p.reserve(min(expected, limit)) {
		limit = 0
	}
	for p.size <= limit {
		part, ok := p.newPart(expected)
		if !ok {
			return false, nil
		}
		n, err := fill(source, part)
		p.add(part, n)
		if errors.Is(err, io.EOF) {
			p.hold.shrink(p.held)
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// reserve makes sure that content of the expected length has room, and reports whether it
// has.
func (p *parts) reserve(expected int64) bool {
	if expected <= smallPart {
		return true
	}
	buffers := (expected + largePart - 1) / largePart
	if p.hold.cover(buffers * largePart) {
		return true
	}
	p.hold.shrink(largePart)
	return false
}

// fill reads until the buffer is full or the source ends; err is nil when it is full.
func fill(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = source.Read(buffer[n:])
		n += read
	}
	return n, err
}

// newPart returns the next buffer; ok is false when the budget has no room for it.
func (p *parts) newPart(expected int64) (part []byte, ok bool) {
	size := int64(largePart)
	if len(p.list) == 0 && expected < smallPart {
		size = smallPart
	}
	if !p.hold.cover(p.held + size) {
		return nil, false
	}
	if size == smallPart || p.hold == nil {
		return make([]byte, size), true
	}
	return partPool.Get().(*[largePart]byte)[:], true
}

// add appends the first n bytes of a buffer to the content.
func (p *parts) add(part []byte, n int) {
	if n == 0 {
		p.recycle(part)
		return
	}
	p.list = append(p.list, part[:n])
	p.size += int64(n)
	p.held += int64(cap(part))
}

// recycle lets a buffer be used again, which nothing refers to any more.
func (p *parts) recycle(part []byte) {
	if p.hold != nil && cap(part) == largePart {
		partPool.Put((*[largePart]byte)(part[:largePart]))
	}
}

// deliver calls write with one buffer after the other and gives each back once it was
// written. After an error the buffers may still be in use and are left to the garbage
// collector.
func (p *parts) deliver(write func([]byte) error) error {
	for i, part := range p.list {
		if err := write(part); err != nil {
			return err
		}
		p.list[i] = nil
		p.recycle(part)
		p.held -= int64(cap(part))
		p.hold.shrink(p.held)
	}
	return nil
}

// release ends the reservation of a response that is not delivered.
func (p *parts) release() {
	p.list, p.held = nil, 0
	p.hold.release()
}
