package proxy

import (
	"net/http"
	"time"
)

// replyGrace is the time past a request's deadline in which its refusal may
// still be written.
const replyGrace = time.Second

// replyWriter writes towards a caller and knows whether the reply has begun.
type replyWriter struct {
	http.ResponseWriter
	progress time.Duration
	// until is the latest write deadline; zero for no bound.
	until time.Time
	begun bool
	// noChunks is true for a caller that sees the end of an answer without a
	// length only by the end of the connection.
	noChunks bool
}

// Unwrap returns the writer for http.ResponseController.
func (w *replyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader sends the head at once.
func (w *replyWriter) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
	if writer, ok := w.ResponseWriter.(interface{ WriteHeaderNow() }); ok {
		writer.WriteHeaderNow()
	}
}

// Write sends a part of the body, bounded by the progress time.
func (w *replyWriter) Write(p []byte) (int, error) {
	w.begun = true
	w.extend()
	return w.ResponseWriter.Write(p)
}

// extend moves the write deadline ahead. Writers without one are left alone.
func (w *replyWriter) extend() {
	next := time.Now().Add(w.progress)
	if !w.until.IsZero() {
		next = earlier(next, w.until)
	}
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(next)
}

// flush hands buffered bytes to the connection.
func (w *replyWriter) flush() error {
	w.extend()
	return http.NewResponseController(w.ResponseWriter).Flush()
}
