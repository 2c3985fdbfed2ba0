package gateway

import (
	"errors"
	"io"
	"syscall"

	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// CrashTracker judges requests that seem to crash the targets that run them.
type CrashTracker interface {
	// Refuses reports whether a request may not run any more.
	Refuses(fingerprint uint64) bool
	// ReportCrash notes that a target went away while it ran a request.
	ReportCrash(fingerprint uint64, target string)
	// ReportResponse notes that a target answered a request whole, so that it does not
	// crash whatever runs it.
	ReportResponse(fingerprint uint64)
}

// reportCrash reports an attempt whose target closed the connection without a
// word after the request was written.
func (q *request) reportCrash(target string, v verdict) {
	if v.result.Err == nil || !v.result.Sent || v.result.End != suspicion.EndFailed {
		return
	}
	if errors.Is(v.result.Err, io.EOF) || errors.Is(v.result.Err, io.ErrUnexpectedEOF) || errors.Is(v.result.Err, syscall.ECONNRESET) {
		q.gateway.options.Crashes.ReportCrash(q.print, target)
	}
}
