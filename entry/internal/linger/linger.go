// Package linger sets what closing a connection does with bytes that were not delivered yet, and closes
// one direction of it.
package linger

import (
	"errors"
	"net"
)

// Set sets the linger time of a connection in seconds, as net.TCPConn.SetLinger does: with 0, the
// connection is reset when it is closed. Connections that wrap another one pass it on. The error is
// errors.ErrUnsupported for those that have none.
func Set(conn net.Conn, seconds int) error {
	if setter, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		return setter.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the sending direction of a connection, as net.TCPConn.CloseWrite does. Connections
// that wrap another one pass it on. The error is errors.ErrUnsupported for those that can't.
func CloseWrite(conn net.Conn) error {
	if closer, ok := conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.ErrUnsupported
}
