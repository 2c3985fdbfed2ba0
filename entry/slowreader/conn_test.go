package slowreader

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

const (
	progressTimeout = 10 * time.Second
	// length is several times what a connection buffers, in bytes.
	length = 4 * memnet.BufferBytes
)

// connect returns the two ends of a connection, the first with a write deadline that is
// renewed.
func connect(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	network := memnet.New()
	inner, err := network.Host("10.0.0.1").Listen(t.Context(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	listener := Listener(inner)
	peer, err := network.Host("10.0.0.2").DialContext(t.Context(), "tcp", "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _, _ = conn.Close(), peer.Close(), listener.Close() })
	return conn.(*Conn), peer
}

// startReader reads a part of given bytes each pause, until the connection ends, and then
// closes the channel.
func startReader(peer net.Conn, part int, pause time.Duration) (ended chan struct{}) {
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		buffer := make([]byte, part)
		for {
			time.Sleep(pause)
			if _, err := peer.Read(buffer); err != nil {
				return
			}
		}
	}()
	return ended
}

// TestPeerThatReadsSlowlyIsServed guards against slow callers that are cut off while they
// read, and TestPeerThatReadsNothingIsEnded against those that hold memory for ever.
func TestPeerThatReadsSlowlyIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := connect(t)
		ended := startReader(peer, memnet.BufferBytes/4, progressTimeout*9/10)
		_ = conn.SetWriteDeadline(time.Now().Add(progressTimeout))
		began := time.Now()
		if n, err := conn.Write(make([]byte, length)); err != nil || n != length {
			t.Errorf("%d bytes written, %v", n, err)
		}
		if took := time.Since(began); took < 5*progressTimeout {
			t.Errorf("the peer read all in %v; it was not slow", took)
		}
		_ = conn.Close()
		<-ended
	})
}

func TestPeerThatReadsNothingIsEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, _ := connect(t)
		_ = conn.SetWriteDeadline(time.Now().Add(progressTimeout))
		began := time.Now()
		_, err := conn.Write(make([]byte, length))
		if took := time.Since(began); !errors.Is(err, os.ErrDeadlineExceeded) || took < progressTimeout || took > progressTimeout+progressTimeout/checksPerTimeout {
			t.Errorf("%v after %v", err, took)
		}
	})
}

// TestConnectionWithoutWriteDeadlineIsLeftAlone guards against connections that end on VMs
// that don't bound their memory.
func TestConnectionWithoutWriteDeadlineIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := connect(t)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_ = conn.SetWriteDeadline(time.Time{})
		ended := startReader(peer, memnet.BufferBytes, time.Hour)
		if n, err := conn.Write(make([]byte, length)); err != nil || n != length {
			t.Errorf("%d bytes written, %v", n, err)
		}
		_ = conn.Close()
		<-ended
	})
}
