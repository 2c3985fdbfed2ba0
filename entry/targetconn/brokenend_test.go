package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/network"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// slowUpload is a body of a length that is written in parts with pauses.
type slowUpload struct {
	left  int
	pause time.Duration
}

func (u *slowUpload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(u.pause)
	n := min(len(p), u.left, 4<<10)
	u.left -= n
	return n, nil
}

// startTCPTarget starts a target over TCP that handles each connection by a function.
func startTCPTarget(t *testing.T, handle func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
			go handle(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// startRawTarget starts a target over TCP that answers each connection by a function, after it has read the
// head and some bytes of the body of one request.
func startRawTarget(t *testing.T, bodyBytes int64, answer func(conn *net.TCPConn, body io.Reader)) (address string) {
	t.Helper()
	return startTCPTarget(t, func(conn *net.TCPConn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, request.Body, bodyBytes)
		answer(conn, request.Body)
	})
}

// upload sends a PUT over a new connection and returns what was read of its response, and why it ended.
func upload(t *testing.T, address string, body io.Reader, length int64) ([]byte, error) {
	t.Helper()
	p := New(address, network.OS{}, DefaultOptions(2))
	defer p.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = length
	x, response, err := Send(p, "t0", request)
	if err != nil {
		return nil, err
	}
	defer x.Finish(true)
	return io.ReadAll(response.Body)
}

const (
	uploadBytes = 1 << 20
	partBytes   = 20_000
)

// TestResetDuringAnUploadBreaksItsResponse guards against a part of a response without a length that is taken for
// all of it: the write of the upload got the error of the reset, so that the read found an ordinary end.
func TestResetDuringAnUploadBreaksItsResponse(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond} {
		for _, wait := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprintf("pause %v, reset after %v", pause, wait), func(t *testing.T) {
				address := startRawTarget(t, 64<<10, func(conn *net.TCPConn, _ io.Reader) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", partBytes))
					time.Sleep(wait)
					_ = conn.SetLinger(0)
					_ = conn.Close()
				})
				for i := range 6 {
					got, err := upload(t, address, &slowUpload{left: uploadBytes, pause: pause}, uploadBytes)
					if err == nil {
						t.Fatalf("upload %d: %d bytes are taken for the whole response", i, len(got))
					}
				}
			})
		}
	}
}

// TestResponseEndsWithItsConnection guards against a whole response without a length that is taken for a part, since
// its connection ends: after the upload, and while the target reads on.
func TestResponseEndsWithItsConnection(t *testing.T) {
	for name, reads := range map[string]int64{"after the upload": uploadBytes, "during the upload": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			address := startRawTarget(t, reads, func(conn *net.TCPConn, body io.Reader) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+strings.Repeat("x", partBytes))
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, body)
				_ = conn.Close()
			})
			for i := range 6 {
				got, err := upload(t, address, &slowUpload{left: uploadBytes, pause: 100 * time.Microsecond}, uploadBytes)
				if err != nil || len(got) != partBytes {
					t.Fatalf("upload %d: %d bytes and %v, want %d", i, len(got), err, partBytes)
				}
			}
		})
	}
}

// brokenConn is a connection that was reset: its writes fail once a function says so, and its reads find an end.
type brokenConn struct {
	net.Conn
	write func() error
}

func (c brokenConn) Write([]byte) (int, error)        { return 0, c.write() }
func (c brokenConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c brokenConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndAfterAFailedWriteIsNone guards against a reset whose error a write has taken, or is about to return, when
// the read finds the end.
func TestEndAfterAFailedWriteIsNone(t *testing.T) {
	w := &watchedConn{Conn: brokenConn{write: func() error { return syscall.ECONNRESET }}}
	_, _ = w.Write([]byte("x"))
	if _, err := w.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the read after the write: %v", err)
	}
	begun, end := make(chan struct{}), make(chan struct{})
	w = &watchedConn{Conn: brokenConn{write: func() error { close(begun); <-end; return syscall.ECONNRESET }}}
	var writing sync.WaitGroup
	writing.Go(func() { _, _ = w.Write([]byte("x")) })
	<-begun
	time.AfterFunc(10*time.Millisecond, func() { close(end) })
	if _, err := w.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the read during the write: %v", err)
	}
	writing.Wait()
}

// TestBlockedWriteDoesNotHoldUpTheEnd guards against a response that never ends since its target, which has closed
// its side, reads no more of the upload.
func TestBlockedWriteDoesNotHoldUpTheEnd(t *testing.T) {
	mem := memnet.New()
	listener, err := mem.Host("10.1.0.1").Listen(t.Context(), targetAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	conn, err := mem.Host("10.0.0.1").DialContext(context.Background(), "tcp", targetAddress)
	if err != nil {
		t.Fatal(err)
	}
	w := &watchedConn{Conn: conn}
	var writing sync.WaitGroup
	writing.Go(func() {
		for err := error(nil); err == nil; {
			_, err = w.Write(make([]byte, 64<<10))
		}
	})
	_ = (<-accepted).(interface{ CloseWrite() error }).CloseWrite()
	if _, err := w.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read at the end: %v", err)
	}
	writing.Wait()
	_ = conn.Close()
}
