// Package pageserver serves pages that need no body and are written at once: readiness, the directory,
// the operators' pages. Their callers may be anybody, so that all that they hold is bounded: connections,
// heads, and the time of a request and of its response.
package pageserver

import (
	"net"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/connlimit"
	"github.com/primroseloom/primroseloom/entry/framing"
)

// Limits on a caller of a page.
const (
	maxHeaderBytes = 16 << 10
	// requestTimeout bounds the time from the first byte of a request to its last one, responseTimeout that
	// until its response is read.
	requestTimeout  = 5 * time.Second
	responseTimeout = 10 * time.Second
	idleTimeout     = 75 * time.Second
)

// New returns a server of a page and the listener that it is to serve. What its connections keep is reserved as
// heads says.
func New(inner net.Listener, handler http.Handler, limits connlimit.Options, heads framing.Options) (*http.Server, net.Listener) {
	recent := connlimit.NewRecent()
	limits.MakeRoom, heads.MakeRoom = recent.CloseOldest, recent.CloseOldest
	server := &http.Server{
		Handler:        handler,
		ConnState:      recent.OnStateChange,
		MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout:    requestTimeout,
		WriteTimeout:   responseTimeout,
		IdleTimeout:    idleTimeout,
	}
	return server, framing.Listener(connlimit.NewListener(inner, limits), heads)
}
