// Package connwrap wraps the connections of a listener.
package connwrap

import "net"

// Listener returns a listener whose connections are those of inner, each wrapped.
func Listener(inner net.Listener, wrap func(net.Conn) net.Conn) net.Listener {
	return &listener{inner, wrap}
}

type listener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}
