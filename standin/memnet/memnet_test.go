package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	clientIP = "10.0.0.1"
	serverIP = "10.0.0.2"
	address  = serverIP + ":80"
)

// connect returns both ends of a new connection.
func connect(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Host(serverIP).Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	client, err = n.Host(clientIP).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server
}

func TestDialWithoutListenerIsRefused(t *testing.T) {
	_, err := New().Host(clientIP).DialContext(t.Context(), "tcp", address)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: %v, want connection refused", err)
	}
}

func TestBlockedDirectionDeliversAfterUnblock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		client, server := connect(t, n)
		n.Block(clientIP, serverIP)
		if _, err := client.Write([]byte("late")); err != nil {
			t.Fatal(err)
		}
		_ = server.SetReadDeadline(time.Now().Add(time.Second))
		buffer := make([]byte, 8)
		if _, err := server.Read(buffer); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("read while blocked: %v, want a deadline error", err)
		}
		n.Unblock(clientIP, serverIP)
		_ = server.SetReadDeadline(time.Time{})
		count, err := server.Read(buffer)
		if err != nil || string(buffer[:count]) != "late" {
			t.Errorf("read %q, %v after unblock", buffer[:count], err)
		}
	})
}

func TestStallConnectionsDoesNotAffectNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		client, server := connect(t, n)
		n.StallConnections(clientIP, serverIP)
		_, _ = client.Write([]byte("lost"))
		_ = server.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := server.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read on a stalled connection: %v, want a deadline error", err)
		}
		if _, err := n.Host(clientIP).DialContext(t.Context(), "tcp", address); err != nil {
			t.Errorf("new connection: %v", err)
		}
	})
}

func TestConnectionThatIsResetOnceItIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		_, _ = connect(t, n)
		n.ResetOpened(clientIP, serverIP, true)
		conn, err := n.Host(clientIP).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatalf("dial: %v, want a connection", err)
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read: %v, want a reset", err)
		}
		n.ResetOpened(clientIP, serverIP, false)
		conn, _ = n.Host(clientIP).DialContext(t.Context(), "tcp", address)
		if _, err := conn.Write([]byte("x")); err != nil {
			t.Errorf("write afterwards: %v", err)
		}
	})
}

func TestDialOverBlockedDirectionEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l, _ := n.Host(serverIP).Listen(t.Context(), address)
		defer func() { _ = l.Close() }()
		n.Block(serverIP, clientIP)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := n.Host(clientIP).DialContext(ctx, "tcp", address)
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dial: %v, want the context's deadline error", err)
		}
	})
}

func TestKillResetsConnections(t *testing.T) {
	n := New()
	client, _ := connect(t, n)
	n.Kill(serverIP)
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read: %v, want a reset", err)
	}
}

func TestHTTPRequestTakesTwoRoundTrips(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		n.SetDelay(clientIP, serverIP, time.Millisecond)
		n.SetDelay(serverIP, clientIP, time.Millisecond)
		l, _ := n.Host(serverIP).Listen(t.Context(), address)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "answer")
		})}
		go func() { _ = server.Serve(l) }()
		transport := &http.Transport{DialContext: n.Host(clientIP).DialContext}
		started := time.Now()
		response, err := (&http.Client{Transport: transport}).Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if string(body) != "answer" {
			t.Errorf("body %q", body)
		}
		if got := time.Since(started); got != 4*time.Millisecond {
			t.Errorf("took %v, want two round trips of 2ms", got)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}
