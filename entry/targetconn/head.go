package targetconn

import (
	"errors"
	"net/http"
	"regexp"
	"strings"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// Faults of a response's head.
var (
	// errNotFinal means that the target switched protocols, which no request asks for.
	errNotFinal = errors.New("the response is not final")
	// errTwoHeads means that the target wrote its response within the head of an earlier one.
	errTwoHeads = errors.New("the head of the response holds a second status line")
	// errFraming means that the end of the response can't be told.
	errFraming = errors.New("the response is of HTTP/1.0 and has a Transfer-Encoding")
)

// statusLineStart is how each status line begins; statusLine matches one at the end of a text.
const statusLineStart = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( [^:]*)?$`)

// checkHead returns an error when the head that came on a connection is not that of a final
// response to the request, whose end can be told.
func checkHead(response *http.Response, trip *contract.RoundTrip, watch *watchedConn) error {
	switch {
	case response.StatusCode < http.StatusOK:
		return errNotFinal
	case trip.Reused() && hasTwoHeads(response):
		return errTwoHeads
	case watch.hasFaultyFraming():
		return errFraming
	}
	return nil
}

// hasTwoHeads reports whether the head begins with a part of another response's, as when a
// target writes an earlier response once more, in pieces: a status line then follows on the
// part, at the end of its status or of a field. The status would be that of the other response,
// and so would be the fields before the cut.
func hasTwoHeads(response *http.Response) bool {
	if endsInStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if endsInStatusLine(value) {
				return true
			}
		}
	}
	return false
}

func endsInStatusLine(text string) bool {
	return strings.Contains(text, statusLineStart) && statusLine.MatchString(text)
}
