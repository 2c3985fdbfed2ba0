package targetconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// errStalled ends an attempt whose answer did not begin in time.
var errStalled = errors.New("no first byte in time")

// connection is one connection to a target; it carries one attempt at a time.
type connection struct {
	client *http.ClientConn
	watch  *watchedConn
	// opened and idleSince bound how long the connection is kept.
	opened    time.Time
	idleSince time.Time
	used      bool
}

// watchedConn observes the bytes of the attempt in progress.
type watchedConn struct {
	net.Conn

	mu    sync.Mutex
	trip  *contract.RoundTrip
	stall *time.Timer
	limit time.Duration
	// refused is the error of the attempt's BeforeWrite.
	refused error
	// heard is true once a byte of the answer has arrived.
	heard bool
}

// begin starts to observe an attempt. Cancel ends it when it stalls.
func (w *watchedConn) begin(trip *contract.RoundTrip, limit time.Duration, cancel context.CancelCauseFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trip, w.limit, w.refused, w.heard = trip, limit, nil, false
	if limit > 0 {
		w.stall = time.AfterFunc(limit, func() { cancel(errStalled) })
		w.stall.Stop()
	}
}

// end stops observing.
func (w *watchedConn) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trip = nil
	if w.stall != nil {
		w.stall.Stop()
		w.stall = nil
	}
}

// Write asks the attempt for leave before its first byte.
func (w *watchedConn) Write(p []byte) (int, error) {
	if err := w.beforeWrite(); err != nil {
		return 0, err
	}
	n, err := w.Conn.Write(p)
	w.rearm()
	return n, err
}

// Read notes the first byte of the answer.
func (w *watchedConn) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.noteHeard()
	}
	return n, err
}

func (w *watchedConn) beforeWrite() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused != nil {
		return w.refused
	}
	if w.trip == nil || w.trip.Written() {
		return nil
	}
	if w.trip.BeforeWrite != nil {
		if w.refused = w.trip.BeforeWrite(); w.refused != nil {
			return w.refused
		}
	}
	w.trip.MarkWritten()
	return nil
}

// rearm starts the stall bound anew, since an upload in progress is no stall.
func (w *watchedConn) rearm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stall != nil && !w.heard {
		w.stall.Reset(w.limit)
	}
}

func (w *watchedConn) noteHeard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.heard {
		return
	}
	w.heard = true
	if w.stall != nil {
		w.stall.Stop()
	}
}

// refusal returns the error with which the attempt forbade its first byte.
func (w *watchedConn) refusal() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}
