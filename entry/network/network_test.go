package network

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestPatienceIsSetByKindOfConnection guards against silent peers that hold connections for
// longer than their kind allows: TCP_USER_TIMEOUT decides it, whatever the number of probes.
func TestPatienceIsSetByKindOfConnection(t *testing.T) {
	listener, err := OS{}.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	for name, c := range map[string]struct {
		network OS
		want    time.Duration
	}{
		"default": {OS{}, Callers.UserTimeout},
		"targets": {OS{}.With(Targets), Targets.UserTimeout},
		"VMs":     {OS{Source: net.IPv4(127, 0, 0, 1)}.With(VMs), VMs.UserTimeout},
		"store":   {OS{}.With(Store), Store.UserTimeout},
	} {
		conn, err := c.network.DialContext(context.Background(), "tcp", listener.Addr().String())
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := userTimeout(t, conn); got != c.want {
			t.Errorf("%s: TCP_USER_TIMEOUT %v, want %v", name, got, c.want)
		}
		_ = conn.Close()
	}
}

// TestBuffersAreBoundedWhereAsked guards against a kernel that holds, beside the process,
// what callers don't read or targets send, and against bounds on VMs that set none.
func TestBuffersAreBoundedWhereAsked(t *testing.T) {
	plain := OS{}
	for _, c := range []struct {
		name              string
		callers, targets  OS
		unsent, receiving int
	}{
		{"no bounds", plain, plain, 0, 0},
		{"bounds", plain.WithBuffers(CallersBuffers), plain.With(Targets).WithBuffers(TargetsBuffers), CallersBuffers.UnsentBytes, 2 * TargetsBuffers.ReceiveBytes},
	} {
		conns := pair(t, c.callers, c.targets)
		if got := intOption(t, conns[0], unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT); got != c.unsent {
			t.Errorf("%s: TCP_NOTSENT_LOWAT of an accepted connection is %d, want %d", c.name, got, c.unsent)
		}
		if got := intOption(t, conns[1], unix.SOL_SOCKET, unix.SO_RCVBUF); c.receiving > 0 && got != c.receiving {
			t.Errorf("%s: SO_RCVBUF of an opened connection is %d, want %d", c.name, got, c.receiving)
		}
	}
}

// pair returns an accepted and an opened connection.
func pair(t *testing.T, accepting, opening OS) [2]net.Conn {
	t.Helper()
	listener, err := accepting.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened, err := opening.DialContext(context.Background(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _, _ = opened.Close(), accepted.Close(), listener.Close() })
	return [2]net.Conn{accepted, opened}
}

// userTimeout returns a connection's TCP_USER_TIMEOUT.
func userTimeout(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	return time.Duration(intOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
}

// intOption returns an option of a connection's socket.
func intOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return value
}
