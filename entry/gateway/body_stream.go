package gateway

import (
	"errors"
	"io"
	"sync"
)

// errNotItsBody is the error of a reader that may not read a caller's body any further: it was
// ended, or another one reads the body.
var errNotItsBody = errors.New("the body is not read any further for this attempt")

// maxBodyPart is the maximum size in bytes of one read from the caller.
const maxBodyPart = 32 << 10

// bodyStream is a caller's body that is longer than its buffered part. It alone reads the caller's
// connection, and it hands out the bytes to one reader at a time. No reader begins after one has
// read beyond the buffered part: it would miss what that one has got, and a target can't notice
// this in a body that is sent in chunks. A reader without the rest gets an error, never the end.
type bodyStream struct {
	source io.Reader

	mu sync.Mutex
	// reader is the one that may read; nil when none may.
	reader *streamReader
	// buffered is the begin of the body. Once the source was read, no reader needs it any more,
	// and it is the buffer of further reads.
	buffered []byte
	// handedOut is the number of bytes of the body that the reader has got.
	handedOut int64
	// isBegun is true once the source was read beyond the buffered part.
	isBegun bool
	// part was read from the source and not handed out yet; err is why the source ended.
	part []byte
	err  error
	// fetched is closed at the end of the read of the source in progress; nil when there is none.
	fetched chan struct{}
}

// newBodyStream returns a body with its buffered begin, which source continues.
func newBodyStream(buffered []byte, source io.Reader) *bodyStream {
	return &bodyStream{buffered: buffered, source: source}
}

// open ends the current reader and returns one that reads from the first byte; nil when the body
// can't be read from there.
func (s *bodyStream) open() *streamReader {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReader()
	if s.isBegun {
		return nil
	}
	s.reader, s.handedOut = &streamReader{stream: s, ended: make(chan struct{})}, 0
	return s.reader
}

// endReader ends the current reader; the lock is held.
func (s *bodyStream) endReader() {
	if s.reader != nil {
		close(s.reader.ended)
		s.reader = nil
	}
}

// close ends the current reader and lets none begin. A read of the source in progress may go on;
// nobody gets its bytes.
func (s *bodyStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReader()
	s.isBegun = true
}

// replayable reports whether the body can be read from its first byte.
func (s *bodyStream) replayable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isBegun
}

// hasEnded reports whether the source was read to its end.
func (s *bodyStream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return errors.Is(s.err, io.EOF)
}

// take copies the next bytes for a reader. When they have to come from the source, it returns the
// channel that is closed once they have.
func (s *bodyStream) take(r *streamReader, p []byte) (n int, fetched <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != r {
		return 0, nil, errNotItsBody
	}
	switch {
	case !s.isBegun && s.handedOut < int64(len(s.buffered)):
		n = copy(p, s.buffered[s.handedOut:])
	case len(s.part) > 0:
		n = copy(p, s.part)
		s.part = s.part[n:]
	case s.err != nil:
		return 0, nil, s.err
	default:
		s.fetch()
		return 0, s.fetched, nil
	}
	s.handedOut += int64(n)
	return n, nil, nil
}

// fetch begins a read of the source, unless one is in progress; the lock is held.
func (s *bodyStream) fetch() {
	if s.fetched != nil {
		return
	}
	s.isBegun = true
	s.fetched = make(chan struct{})
	buffer := s.buffered[:min(maxBodyPart, len(s.buffered))]
	go func() {
		n, err := s.source.Read(buffer)
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.fetched)
		s.part, s.err, s.fetched = buffer[:n], err, nil
	}()
}

// streamReader reads a bodyStream for one attempt. It is safe for concurrent use.
type streamReader struct {
	stream *bodyStream
	// ended is closed once the reader may read no more.
	ended chan struct{}
}

// Read returns io.EOF only after the whole body. It does not wait for the caller any longer once
// the reader was ended.
func (r *streamReader) Read(p []byte) (int, error) {
	for {
		n, fetched, err := r.stream.take(r, p)
		if fetched == nil {
			return n, err
		}
		select {
		case <-fetched:
		case <-r.ended:
		}
	}
}

// end ends the reader, unless it has ended.
func (r *streamReader) end() {
	r.stream.mu.Lock()
	defer r.stream.mu.Unlock()
	if r.stream.reader == r {
		r.stream.endReader()
	}
}
