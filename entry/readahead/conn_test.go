package readahead

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/entry/framing"
)

// pipe returns a connection and its other end.
func pipe(t *testing.T) (conn *Conn, caller net.Conn) {
	t.Helper()
	server, caller := net.Pipe()
	return NewConn(framing.NewConn(server, framing.Options{})), caller
}

// watch reads the byte by which a server watches a connection.
func watch(t *testing.T, conn *Conn) {
	t.Helper()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// TestEndBehindFurtherBytesIsNoticed guards against a caller that leaves unnoticed since
// further requests of it wait.
func TestEndBehindFurtherBytesIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, caller := pipe(t)
		ended := make(chan struct{})
		conn.notify(func() { close(ended) })
		go func() {
			_, _ = caller.Write([]byte("a further request"))
			_ = caller.Close()
		}()
		watch(t, conn)
		select {
		case <-ended:
		case <-time.After(time.Second):
			t.Error("the end was not noticed")
		}
		if _, err := conn.Read(make([]byte, 100)); err == nil {
			t.Error("a request of a caller that has left is read")
		}
		_ = conn.Close()
	})
}

// TestBytesReadAheadArriveInOrderAndBounded guards against bytes that are lost or reordered,
// and against a caller that fills the memory.
func TestBytesReadAheadArriveInOrderAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, caller := pipe(t)
		sent := bytes.Repeat([]byte("0123456789abcdef"), 40_000)
		go func() { _, _ = caller.Write(sent) }()
		first := make([]byte, 1)
		if _, err := conn.Read(first); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		conn.mu.Lock()
		if len(conn.buffer) > maxAhead {
			t.Errorf("%d bytes are read ahead", len(conn.buffer))
		}
		conn.mu.Unlock()
		rest := make([]byte, len(sent)-1)
		if _, err := io.ReadFull(conn, rest); err != nil || !bytes.Equal(append(first, rest...), sent) {
			t.Errorf("other bytes than those sent, %v", err)
		}
		_ = conn.Close()
	})
}

// TestReadDeadlineHoldsWhileReadingAhead guards against a server that can't end its watch, or
// the wait for a header.
func TestReadDeadlineHoldsWhileReadingAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, caller := pipe(t)
		go func() { _, _ = caller.Write([]byte("x")) }()
		watch(t, conn)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read: %v", err)
		}
		_ = conn.SetReadDeadline(time.Time{})
		go func() { _, _ = caller.Write([]byte("y")) }()
		got := make([]byte, 4)
		if n, err := conn.Read(got); n != 1 || got[0] != 'y' || err != nil {
			t.Errorf("read %q, %v after the deadline was removed", got[:n], err)
		}
		_ = conn.Close()
		_ = caller.Close()
	})
}
