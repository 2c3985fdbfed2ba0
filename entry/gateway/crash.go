package gateway

import (
	"errors"
	"io"
	"syscall"

	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// CrashTracker records requests that seem to crash the targets that run them.
type CrashTracker interface {
	// Refuses reports whether the request must not run any more.
	Refuses(fingerprint uint64) bool
	// ReportCrash records that a target closed its connection while it ran a request.
	ReportCrash(fingerprint uint64, target string)
	// ReportResponse records that a target sent a complete response, which shows that
	// the request does not crash every target that runs it.
	ReportResponse(fingerprint uint64)
}

// reportCrash reports an attempt whose target closed the connection without a
// complete response after the request was written.
func (q *request) reportCrash(target string, d decision) {
	if d.result.Err == nil || !d.result.Sent || d.result.End != suspicion.ResultFailed {
		return
	}
	if errors.Is(d.result.Err, io.EOF) || errors.Is(d.result.Err, io.ErrUnexpectedEOF) || errors.Is(d.result.Err, syscall.ECONNRESET) {
		q.gateway.options.Crashes.ReportCrash(q.print, target)
	}
}
