package draining

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/entry/readahead"
)

const (
	// drainPollInterval is the time between two looks at the requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// maxNewWait bounds the wait for the first requests of connections that were accepted just before
	// the listener closed, some of which never send one.
	maxNewWait = 300 * time.Millisecond
)

// Handler serves the requests of a VM that stops.
type Handler interface {
	// InProgress returns the number of requests that are being served.
	InProgress() int
	// AwaitForwarded waits for the requests of other VMs, and then lets none begin.
	AwaitForwarded(ctx context.Context) error
}

// Server is a server of callers' requests with its listener and its open connections.
type Server struct {
	HTTP     *http.Server
	Listener net.Listener
	// Connections is what readahead.Watch has returned for the server, whose connections come from
	// readahead.Listener.
	Connections *readahead.Watcher
}

// Drain closes the listener and waits until the requests in progress and those that have arrived behind
// them on the same connections are answered, or until the context ends. Only then may the server shut
// down, since it closes a connection after the request in progress.
func (s Server) Drain(ctx context.Context, handler Handler) error {
	_ = s.Listener.Close() // the process ends; nothing is left to do for a listener that fails to close
	awaitFirstRequests(ctx, s.Connections)
	return errors.Join(awaitAnswered(ctx, s.Connections, handler), shutdown(ctx, s.HTTP), handler.AwaitForwarded(ctx))
}

// shutdown shuts a server down whose listener is closed. The server closes the listener once more if it
// has not noticed that yet, and returns the error of that when all else has succeeded.
func shutdown(ctx context.Context, server *http.Server) error {
	if err := server.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// awaitFirstRequests waits until no connection is new. A server that shuts down reads their requests and
// closes them without a response.
func awaitFirstRequests(ctx context.Context, connections *readahead.Watcher) {
	ctx, cancel := context.WithTimeout(ctx, maxNewWait)
	defer cancel()
	for connections.HasNew() && pause.For(ctx, drainPollInterval) {
		continue
	}
}

// awaitAnswered waits until no request is in progress or has arrived behind one, and no caller still sends
// after its response, which would be lost.
func awaitAnswered(ctx context.Context, connections *readahead.Watcher, handler Handler) error {
	for handler.InProgress() > 0 || connections.Pending() || connections.HasLingering() {
		if !pause.For(ctx, drainPollInterval) {
			return fmt.Errorf("finish %d requests: %w", handler.InProgress(), ctx.Err())
		}
	}
	return nil
}
