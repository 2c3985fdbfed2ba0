package framing

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// fieldBytes is what a field of a head needs beside its bytes, in the maps and slices of the request and
	// of an attempt.
	fieldBytes = 256
	// keptPerByte is what a byte of a head needs: buffers that grow are copied.
	keptPerByte = 2
	// headAllowance is what each connection may keep of a head without a reservation. Most heads need less.
	headAllowance = 16 << 10
	// http2Bytes is what a connection of HTTP/2 keeps beside its requests: its buffers and tables, and the
	// heads of streams that have not begun.
	http2Bytes = 1 << 20
	// holdStep is the size in bytes by which reservations grow.
	holdStep = 16 << 10
)

// noMemoryResponse refuses a request whose head has no room; more fields and an empty line follow.
const noMemoryResponse = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 1\r\n"

// errNoMemory means that the budget has no room for what a connection keeps.
var errNoMemory = errors.New("no memory for the connection")

// Without room, a reservation is tried again up to maxRoomTries times, each roomPause after something was
// closed: what that held is released a little later.
const (
	maxRoomTries = 10
	roomPause    = 5 * time.Millisecond
)

// WithRoom calls try until it returns true, and lets makeRoom release memory in between. It returns false if
// makeRoom released nothing or nothing helped; a nil makeRoom never does. No lock may be held that makeRoom
// needs.
func WithRoom(try, makeRoom func() bool) bool {
	for range maxRoomTries {
		if try() {
			return true
		}
		if makeRoom == nil || !makeRoom() {
			return false
		}
		time.Sleep(roomPause)
	}
	return try()
}

// Hold is a part of a budget of memory.
type Hold interface {
	// Resize makes the part a number of bytes, or leaves it as it is and returns false: there is no room.
	Resize(bytes int64) bool
}

// HeadBytes returns what a head of a size in bytes with a number of fields keeps in memory, in bytes.
func HeadBytes(size, fields int) int64 { return int64(keptPerByte*size + fieldBytes*fields) }

// reservation is what a connection has reserved. It is safe for concurrent use.
type reservation struct {
	newHold func() Hold

	mu   sync.Mutex
	hold Hold
	// head is what the largest head since the last release needs, ahead what is read ahead of a request in
	// progress, reserved the sum that is reserved, in bytes.
	head, ahead, reserved int64
	isClosed              bool
}

// coverHead reserves what a head needs beyond headAllowance.
func (r *reservation) coverHead(bytes int64) bool {
	if bytes <= headAllowance {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resize(max(r.head, roundUp(bytes)), r.ahead)
}

// releaseHead releases what heads needed, but for the one that has arrived in part.
func (r *reservation) releaseHead(partial int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partial <= headAllowance {
		partial = 0
	}
	r.resize(roundUp(partial), r.ahead)
}

// coverAhead makes the reservation for what is read ahead a number of bytes.
func (r *reservation) coverAhead(bytes int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resize(r.head, roundUp(bytes))
}

// resize changes the reservation; the lock is held.
func (r *reservation) resize(head, ahead int64) bool {
	if r.newHold == nil || r.isClosed {
		return true
	}
	if r.hold == nil {
		r.hold = r.newHold()
	}
	if head+ahead != r.reserved && !r.hold.Resize(head+ahead) {
		return false
	}
	r.head, r.ahead, r.reserved = head, ahead, head+ahead
	return true
}

// close releases all of it.
func (r *reservation) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved > 0 {
		r.hold.Resize(0)
	}
	r.head, r.ahead, r.reserved, r.isClosed = 0, 0, 0, true
}

// isReserved reports whether anything is reserved.
func (r *reservation) isReserved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved > 0
}

// roundUp returns the next multiple of holdStep.
func roundUp(bytes int64) int64 { return (bytes + holdStep - 1) / holdStep * holdStep }

// coverHead reserves what the head that is arriving keeps, before more of it is read. The error is why nothing
// more may be read.
func (c *Conn) coverHead() error {
	if c.failed != nil {
		return c.failed
	}
	kept := c.framer.keptBytes()
	if !WithRoom(func() bool { return c.memory.coverHead(kept) }, c.options.MakeRoom) {
		c.refuseForMemory()
	}
	return c.failed
}

// refuseForMemory ends the reading of a connection for which there is no memory. It refuses the request
// that is arriving, unless the response would come before that of an earlier one.
func (c *Conn) refuseForMemory() {
	// net/http's server closes a connection without a response after such an error.
	c.failed = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	c.Refused(NoMemory)
	if c.mayRespond != nil && c.mayRespond() && !c.framer.isHTTP2Conn() {
		_, _ = io.WriteString(c.Conn, noMemoryResponse+c.options.RefusalFields+"\r\n") // a caller that has left misses nothing
	}
}

// ReleaseHead releases what the head of a request needed that has ended. No read may be in progress, but for
// one that waits for the caller.
func (c *Conn) ReleaseHead() { c.memory.releaseHead(c.keptPartial.Load()) }

// CoverAhead makes the reservation for what is read ahead a number of bytes; false means that there is no
// room, and that MakeRoom may help.
func (c *Conn) CoverAhead(bytes int64) bool { return c.memory.coverAhead(bytes) }

// MakeRoom releases memory of other connections, if it can, and reports whether it has.
func (c *Conn) MakeRoom() bool { return c.options.MakeRoom != nil && c.options.MakeRoom() }

// HoldsMemory reports whether the connection has reserved memory.
func (c *Conn) HoldsMemory() bool { return c.memory.isReserved() }

// NewHold returns an empty part of the budget of memory; nil for no bound.
func (c *Conn) NewHold() Hold {
	if c.options.NewHold == nil {
		return nil
	}
	return c.options.NewHold()
}

// Close closes the connection and releases its memory.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.memory.close()
	return err
}
