package soak

import (
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// maxFillers bounds the connections that fill the queue of a listener.
const maxFillers = 8

// fillTimeout is the time after which a connection attempt counts as dropped.
const fillTimeout = 30 * time.Millisecond

// blackhole makes connection attempts to an address hang: it listens there with a
// full queue of unaccepted connections, for which the kernel drops further ones.
// The returned function releases the address.
func blackhole(address string) (release func(), err error) {
	fd, err := listenUnaccepted(address)
	if err != nil {
		return nil, err
	}
	fillers := fillQueue(address)
	return func() {
		for _, conn := range fillers {
			_ = conn.Close()
		}
		_ = syscall.Close(fd)
	}, nil
}

// listenUnaccepted listens at a loopback address with the shortest queue and never
// accepts a connection.
func listenUnaccepted(address string) (fd int, err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return 0, fmt.Errorf("address %q: %w", address, err)
	}
	fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, fmt.Errorf("open a socket: %w", err)
	}
	if err := bindAndListen(fd, parsed); err != nil {
		_ = syscall.Close(fd)
		return 0, fmt.Errorf("listen at %s: %w", address, err)
	}
	return fd, nil
}

func bindAndListen(fd int, address netip.AddrPort) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()}); err != nil {
		return err
	}
	return syscall.Listen(fd, 0)
}

// fillQueue connects to an address until a connection attempt is dropped.
func fillQueue(address string) []net.Conn {
	var fillers []net.Conn
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			break
		}
		fillers = append(fillers, conn)
	}
	return fillers
}
