package gateway

import (
	"net"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// hopByHopHeaders are the hop-by-hop headers, which are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// headerBytes returns the size of a request's first line and headers.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.URL.RequestURI()) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// fingerprint returns a hash of the caller's address, the method, the route's host,
// the URI and the buffered part of the body, which identifies a repeated request. The
// caller's port and the spelling of the host may change when a request is repeated.
func fingerprint(r *http.Request, routeHost string, body []byte) quarantine.Fingerprint {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	digest := xxhash.New()
	for _, part := range []string{caller, r.Method, routeHost, r.URL.RequestURI()} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(body)
	return quarantine.Fingerprint(digest.Sum64())
}
