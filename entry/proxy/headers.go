package proxy

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// hopByHop fields belong to one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the fields that are passed on.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// requestHeader returns the fields that go to a target. The fleet's own fields
// are set here after the caller's are removed, so that no caller can choose them.
func requestHeader(r *http.Request) http.Header {
	header := endToEnd(r.Header)
	for _, name := range []string{CredentialHeader, CorrelationHeader, TimeoutHeader, OutcomeHeader, contract.TrialHeader, "Expect", "Content-Length"} {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil
	}
	return header
}

// answerHeader returns the fields of a target's answer that go to the caller.
func answerHeader(header http.Header) http.Header {
	kept := endToEnd(header)
	for _, name := range []string{CorrelationHeader, OutcomeHeader, "Content-Length"} {
		kept.Del(name)
	}
	return kept
}
