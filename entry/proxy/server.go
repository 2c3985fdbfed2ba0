package proxy

import (
	"bytes"
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
)

// maxStreams bounds the requests in progress on one HTTP/2 connection.
const maxStreams = 128

// forwardedInterval is how often a stop looks for requests of other VMs.
const forwardedInterval = 10 * time.Millisecond

// ServerLimits bound what callers' connections may take.
type ServerLimits struct {
	// Connections is the number of open connections; more are closed at once.
	Connections int
	// HeaderBytes is the size of a request's header.
	HeaderBytes int
	// HeaderTimeout is the longest time a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Logger takes the errors of connections; nil for none.
	Logger *log.Logger
}

// errorLog turns the lines of the HTTP library's server into events.
type errorLog struct{ logger *log.Logger }

// Write logs one line.
func (e errorLog) Write(line []byte) (int, error) {
	event := events.CallerConnectionFailed
	if bytes.Contains(line, []byte("panic serving")) {
		event = events.RequestPanicked
	}
	if e.logger != nil {
		event.Log(e.logger, "cause", string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// NewServer returns a server of HTTP/1.1 and HTTP/2 over plain TCP.
func NewServer(handler http.Handler, limits ServerLimits) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           closeAfterChunks(handler),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          stdlog.New(errorLog{limits.Logger}, "", 0),
	}
}

// closeAfterChunks ends an HTTP/1 connection after a chunked request. The
// library drops a second, contradicting length unseen; on a closed connection
// nothing that was smuggled behind the body is read as a request.
func closeAfterChunks(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Drain stops the server for good. For the linger time it still takes new
// connections, from callers that hold an old directory answer; then it closes
// the listener and finishes every request in progress, those of other VMs
// included. An error means that the
// context ended first.
func (p *Proxy) Drain(ctx context.Context, server *http.Server, linger time.Duration) error {
	if p.options.Logger != nil {
		events.ProxyDraining.Log(p.options.Logger, "linger", linger)
	}
	p.draining.Store(true)
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("finish requests in progress: %w", err)
	}
	return p.awaitForwarded(ctx)
}

// awaitForwarded waits until no request of another VM is in progress here.
func (p *Proxy) awaitForwarded(ctx context.Context) error {
	ticker := time.NewTicker(forwardedInterval)
	defer ticker.Stop()
	for p.forwarded.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("finish %d requests of other VMs: %w", p.forwarded.Load(), ctx.Err())
		}
	}
	return nil
}

// LimitListener closes connections beyond a number of open ones at once.
func LimitListener(inner net.Listener, limit int) net.Listener {
	return &limitListener{Listener: inner, free: make(chan struct{}, limit)}
}

type limitListener struct {
	net.Listener
	free chan struct{}
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.free })}, nil
		default:
			_ = conn.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
