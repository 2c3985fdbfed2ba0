// Package network opens the operating system's sockets for the daemon.
package network

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Patience bounds how long the kernel keeps a connection whose peer has fallen silent.
type Patience struct {
	// KeepAliveIdle is how long a connection is idle before the kernel probes it,
	// KeepAliveInterval the time between two probes.
	KeepAliveIdle, KeepAliveInterval time.Duration
	// UserTimeout is how long written data, or a probe, may stay unacknowledged
	// (TCP_USER_TIMEOUT). While it is set, the number of probes doesn't matter.
	UserTimeout time.Duration
}

// Patience by kind of connection.
var (
	// Callers' links may be slow, and nothing waits for them.
	Callers = Patience{KeepAliveIdle: 5 * time.Second, KeepAliveInterval: 2 * time.Second, UserTimeout: 10 * time.Second}
	// Targets may leave a body unread for a while.
	Targets = Patience{KeepAliveIdle: 1500 * time.Millisecond, KeepAliveInterval: time.Second, UserTimeout: 5 * time.Second}
	// VMs always read; their calls have limits of their own.
	VMs = Patience{KeepAliveIdle: 1500 * time.Millisecond, KeepAliveInterval: time.Second, UserTimeout: 3 * time.Second}
	// Store is for the store, whose silence its watches notice, too.
	Store = Patience{KeepAliveIdle: 2 * time.Second, KeepAliveInterval: time.Second, UserTimeout: 5 * time.Second}
)

// OS implements contract.Network with the operating system's TCP.
type OS struct {
	// Source is the local IP address of outgoing connections; nil lets the operating
	// system choose.
	Source net.IP
	// Patience is that of its connections; the zero value means Callers.
	Patience Patience
	// Buffers bounds the kernel's buffers; the zero value leaves them to the kernel.
	Buffers Buffers
}

// patience returns the patience of the connections.
func (o OS) patience() Patience {
	if o.Patience == (Patience{}) {
		return Callers
	}
	return o.Patience
}

// With returns the same network with another patience.
func (o OS) With(patience Patience) OS {
	o.Patience = patience
	return o
}

// WithBuffers returns the same network with bounds on the kernel's buffers.
func (o OS) WithBuffers(buffers Buffers) OS {
	o.Buffers = buffers
	return o
}

// Listen binds a TCP listener to exactly the given "IP:port" address.
func (o OS) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: o.patience().keepAlive(), Control: o.control}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// DialContext connects to an "IP:port" address.
func (o OS) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: o.patience().keepAlive(), Control: o.control}
	if o.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: o.Source}
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

func (p Patience) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: p.KeepAliveIdle, Interval: p.KeepAliveInterval, Count: keepAliveCount}
}

// keepAliveCount is the number of probes where the kernel doesn't know TCP_USER_TIMEOUT.
const keepAliveCount = 3

// setUserTimeout bounds how long written data may stay unacknowledged.
func (p Patience) setUserTimeout(_, address string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(p.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("control socket for %s: %w", address, err)
	}
	if failed != nil {
		return fmt.Errorf("set user timeout for %s: %w", address, failed)
	}
	return nil
}
