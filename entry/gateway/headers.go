package gateway

import (
	"net"
	"net/http"
	"strings"

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

// headerBytes returns the size of a request's first line and headers. Spaces around values, which callers
// may leave out, don't count.
func headerBytes(r *http.Request) int {
	const separators = len(":\r\n")
	size := len(r.Method) + len(r.URL.RequestURI()) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// identify returns the identity of a request, by which it is known when it is sent again.
// The caller's port and the spellings of the host and of the path may change meanwhile.
func identify(r *http.Request, routeHost string, body []byte) quarantine.Identity {
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	return quarantine.Identify(quarantine.Request{
		Caller: caller, Resource: []string{r.Method, routeHost, r.URL.Path}, Query: r.URL.RawQuery, Body: body,
	})
}
