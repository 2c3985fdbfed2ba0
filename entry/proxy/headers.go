package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// hopByHopHeaders are the fields that belong to one connection and are not
// passed on.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the fields that are passed on.
func endToEndHeaders(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// requestHeader returns the caller's fields that go to a target. The credential is
// removed, and so are the fields that the fleet sets itself, so that no caller can
// choose their values.
func requestHeader(r *http.Request) http.Header {
	header := endToEndHeaders(r.Header)
	for _, name := range []string{CredentialHeader, CorrelationHeader, TimeoutHeader, OutcomeHeader, contract.TrialHeader, "Expect", "Content-Length"} {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return header
}

// responseHeader returns the fields of a target's response that go to the caller.
func responseHeader(header http.Header) http.Header {
	kept := endToEndHeaders(header)
	for _, name := range []string{CorrelationHeader, OutcomeHeader, "Content-Length"} {
		kept.Del(name)
	}
	return kept
}
