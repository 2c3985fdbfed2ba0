package targetconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// errStalled ends an attempt whose response did not begin within the stall
// limit.
var errStalled = errors.New("no first byte in time")

// connection is one connection to a target; it carries one attempt at a time.
type connection struct {
	client *http.ClientConn
	watch  *watchedConn
	// opened and idleSince limit how long the connection is kept.
	opened     time.Time
	idleSince  time.Time
	usedBefore bool
	// refused holds the hashes of the identifiers of the requests that the target refused on
	// this connection.
	refused []uint64
}

// hasRefused reports whether the target has refused a request with the identifier's hash on this
// connection.
func (c *connection) hasRefused(id uint64) bool { return slices.Contains(c.refused, id) }

// watchedConn observes the bytes of the attempt in progress. It calls
// BeforeWrite before the first byte and detects a stall before the response
// begins.
type watchedConn struct {
	net.Conn

	mu         sync.Mutex
	trip       *contract.RoundTrip
	stallTimer *time.Timer
	stallLimit time.Duration
	// writeErr is the error that the attempt's BeforeWrite returned.
	writeErr error
	// responseBegun is true once a byte of the response has been read.
	responseBegun bool
	// head follows the head of the response; headErr is why it is not read any further.
	head    responseHead
	headErr error

	// writing is held during a write. writeFault is why the latest one failed.
	writing    sync.Mutex
	writeFault error
}

// startAttempt starts observing an attempt. If limit is positive, cancel is
// called when the attempt stalls for that long.
func (w *watchedConn) startAttempt(trip *contract.RoundTrip, limit time.Duration, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trip, w.stallLimit, w.writeErr, w.responseBegun = trip, limit, nil, false
	w.head, w.headErr = responseHead{}, nil
	if limit > 0 {
		w.stallTimer = time.AfterFunc(limit, func() { cancel(errStalled) })
		w.stallTimer.Stop()
	}
}

// endAttempt stops observing the attempt.
func (w *watchedConn) endAttempt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trip = nil
	if w.stallTimer != nil {
		w.stallTimer.Stop()
		w.stallTimer = nil
	}
}

// Write calls the attempt's BeforeWrite before the first byte and writes nothing
// if that fails.
func (w *watchedConn) Write(p []byte) (int, error) {
	if err := w.beforeWrite(); err != nil {
		return 0, err
	}
	w.writing.Lock()
	defer w.writing.Unlock()
	n, err := w.Conn.Write(p)
	w.writeFault = err
	w.recordWrite()
	return n, err
}

// Read records when the first byte of the response arrives and follows its head. It fails when the head
// has too many fields or the VM has no memory for it.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n == 0 && errors.Is(err, io.EOF) {
		return 0, w.endOfStream()
	}
	if n == 0 {
		return n, err
	}
	w.endStall()
	if fault := w.followHead(p[:n]); fault != nil {
		return 0, fault
	}
	return n, err
}

// endOfStream returns the error of a read that has found the end of the stream: io.EOF, or why the
// connection broke. The kernel tells of a reset, or of a peer that has gone, once: a write that gets that
// error leaves an ordinary end to the read, and a response without a length would seem complete.
//
// It ends a write in progress, as no connection carries a request beyond the end of its responses.
func (w *watchedConn) endOfStream() error {
	_ = w.Conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	w.writing.Lock()
	defer w.writing.Unlock()
	if w.writeFault != nil && !errors.Is(w.writeFault, os.ErrDeadlineExceeded) {
		return fmt.Errorf("the connection broke before its end: %w", w.writeFault)
	}
	return io.EOF
}

func (w *watchedConn) beforeWrite() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writeErr != nil {
		return w.writeErr
	}
	if w.trip == nil || w.trip.Written() {
		return nil
	}
	if w.trip.BeforeWrite != nil {
		if w.writeErr = w.trip.BeforeWrite(); w.writeErr != nil {
			return w.writeErr
		}
	}
	w.trip.MarkWritten()
	return nil
}

// recordWrite records a write and restarts the stall timer, since an upload in progress is
// not a stall.
func (w *watchedConn) recordWrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trip != nil {
		w.trip.MarkWrote()
	}
	if w.stallTimer != nil && !w.responseBegun {
		w.stallTimer.Reset(w.stallLimit)
	}
}

// hasHTTP10TransferEncoding reports whether the response is of HTTP/1.0 and has a Transfer-Encoding.
func (w *watchedConn) hasHTTP10TransferEncoding() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.head.hasFaultyEncoding
}

// endStall ends the detection of a stall, since bytes of the response have arrived.
func (w *watchedConn) endStall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.responseBegun {
		return
	}
	w.responseBegun = true
	if w.stallTimer != nil {
		w.stallTimer.Stop()
	}
}

// followHead follows the head of the response, of which further bytes have arrived, and returns an error
// when it has become too large.
func (w *watchedConn) followHead(p []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.trip == nil || w.head.isDone {
		return w.headErr
	}
	w.head.observe(p)
	switch needed := w.head.memory(); {
	case w.head.lines > maxHeadLines:
		w.headErr = errHeadTooLong
	case needed > usualHeadBytes && w.trip.HoldHead != nil && !w.trip.HoldHead(needed):
		w.headErr = errNoHeadMemory
	}
	return w.headErr
}

// headFault returns why the head of the response was not read completely, if that was this VM's
// decision.
func (w *watchedConn) headFault() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.headErr
}

// writeRefusal returns the error with which BeforeWrite prevented the request,
// if any.
func (w *watchedConn) writeRefusal() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.writeErr
}
