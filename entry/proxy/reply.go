package proxy

import (
	"net/http"
	"time"
)

// replyGrace is the time past a request's deadline in which its refusal may
// still be written.
const replyGrace = time.Second

// replyWriter writes a response to a caller and records whether it has started.
type replyWriter struct {
	http.ResponseWriter
	stallTimeout time.Duration
	// maxWriteDeadline is the latest write deadline; zero for no bound.
	maxWriteDeadline time.Time
	started          bool
	// noChunkedEncoding is true for an HTTP/1.0 caller: for it, a response
	// without a length ends with the connection.
	noChunkedEncoding bool
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the head at once.
func (w *replyWriter) WriteHeader(status int) {
	w.started = true
	w.ResponseWriter.WriteHeader(status)
	if writer, ok := w.ResponseWriter.(interface{ WriteHeaderNow() }); ok {
		writer.WriteHeaderNow()
	}
}

// Write sends a part of the body; the stall timeout bounds the write.
func (w *replyWriter) Write(p []byte) (int, error) {
	w.started = true
	w.extendWriteDeadline()
	return w.ResponseWriter.Write(p)
}

// extendWriteDeadline moves the write deadline ahead. It has no effect on
// writers that don't support one.
func (w *replyWriter) extendWriteDeadline() {
	next := time.Now().Add(w.stallTimeout)
	if !w.maxWriteDeadline.IsZero() {
		next = earlier(next, w.maxWriteDeadline)
	}
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(next)
}

// flush writes buffered bytes to the connection.
func (w *replyWriter) flush() error {
	w.extendWriteDeadline()
	return http.NewResponseController(w.ResponseWriter).Flush()
}
