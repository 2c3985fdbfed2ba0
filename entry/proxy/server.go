package proxy

import (
	"bytes"
	"context"
	"fmt"
	stdlog "log"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/draining"
	"github.com/primroseloom/primroseloom/entry/events"
)

// maxConcurrentStreams bounds the requests in progress on one HTTP/2 connection.
const maxConcurrentStreams = 32

// http2ReceiveBytes is what a connection of HTTP/2 may receive that no handler has read; its reservation
// covers it.
const http2ReceiveBytes = 64 << 10

// ServerLimits bound callers' connections.
type ServerLimits struct {
	// HeaderBytes bounds the size of a request's header.
	HeaderBytes int
	// HeaderTimeout bounds the time a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Logger receives the errors of connections; nil for none.
	Logger *log.Logger
}

// errorLog logs the lines of net/http's server as events.
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

// NewServer returns a server of HTTP/1.1 and HTTP/2 over plain TCP. Its listener is to be one of
// entry/framing or entry/readahead: net/http serves requests that have both a Content-Length and a
// Transfer-Encoding.
func NewServer(handler http.Handler, limits ServerLimits) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:   handler,
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams, MaxReceiveBufferPerConnection: http2ReceiveBytes, MaxReceiveBufferPerStream: http2ReceiveBytes,
		},
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          stdlog.New(errorLog{limits.Logger}, "", 0),
	}
}

// Drain stops the server. For the linger time it still accepts connections,
// from callers with an outdated directory response; then it closes the listener
// and finishes every request in progress, those forwarded by other VMs included, and those that
// have arrived behind them on the same connections.
// An error means that the context ended first. Requests are refused that may not end by its deadline,
// or by the time that StopBy set before.
func (p *Proxy) Drain(ctx context.Context, server draining.Server, linger time.Duration) error {
	if p.options.Logger != nil {
		events.ProxyDraining.Log(p.options.Logger, "linger", linger)
	}
	if end, ok := ctx.Deadline(); ok {
		p.stopBy.CompareAndSwap(nil, &end)
	}
	p.draining.Store(true)
	timer := time.NewTimer(linger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := server.Drain(ctx, p); err != nil {
		return fmt.Errorf("finish requests in progress: %w", err)
	}
	return nil
}

// InProgress returns the number of callers' requests that are being served.
func (p *Proxy) InProgress() int { return int(p.inProgress.Load()) }

// AwaitForwarded waits for the requests of other VMs, and then lets none begin.
func (p *Proxy) AwaitForwarded(ctx context.Context) error { return p.forwardedRequests.Await(ctx) }
