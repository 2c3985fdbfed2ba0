package soak

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// newEchoLink returns a link to a server that echoes what it receives.
func newEchoLink(t *testing.T) *link {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	l, err := newLink(t.Context(), "127.0.0.1:0", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Time limits for an echo. An expected echo gets enough time for a busy machine; an
// echo that must not arrive is waited for only briefly.
const (
	responseTimeout = 30 * time.Second
	noEchoTimeout   = 300 * time.Millisecond
)

// echoes sends a line and reports whether it is echoed within the timeout.
func echoes(t *testing.T, conn net.Conn, timeout time.Duration) bool {
	t.Helper()
	if _, err := io.WriteString(conn, "line\n"); err != nil {
		return false
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "line\n"
}

func dial(t *testing.T, l *link) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestLinkStallsOnlyOpenConnections(t *testing.T) {
	l := newEchoLink(t)
	old := dial(t, l)
	if !echoes(t, old, responseTimeout) {
		t.Fatal("a link without a fault forwards nothing")
	}
	l.stallAll()
	if echoes(t, old, noEchoTimeout) {
		t.Error("a stalled connection still forwards data")
	}
	if !echoes(t, dial(t, l), responseTimeout) {
		t.Error("a new connection forwards nothing")
	}
}

func TestLinkFaults(t *testing.T) {
	for fault, carries := range map[linkFault]bool{linkHealthy: true, linkDelayed: true, linkDropsRequests: false, linkDropsResponses: false, linkDropsBoth: false} {
		l := newEchoLink(t)
		l.setFault(fault)
		timeout := noEchoTimeout
		if carries {
			timeout = responseTimeout
		}
		if got := echoes(t, dial(t, l), timeout); got != carries {
			t.Errorf("fault %d: forwards data: %v", fault, got)
		}
	}
	l := newEchoLink(t)
	conn := dial(t, l)
	echoes(t, conn, responseTimeout)
	l.resetAll()
	if echoes(t, conn, noEchoTimeout) {
		t.Error("a reset connection still forwards data")
	}
}
