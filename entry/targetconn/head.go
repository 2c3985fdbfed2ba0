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
	// errNoStatus means that the status is none of HTTP, which has 100 to 599 (RFC 9110, section 15).
	errNoStatus = errors.New("the status of the response is outside 100 to 599")
	// errTwoHeads means that the target wrote its response within the head of an earlier one.
	errTwoHeads = errors.New("the head of the response holds a second status line")
	// errFraming means that the end of the response is unknown, since its framing is faulty.
	errFraming = errors.New("the response is of HTTP/1.0 and has a Transfer-Encoding")
)

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// statusLineStart is how each status line begins; statusLine matches one at the end of a text.
const statusLineStart = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( [^:]*)?$`)

// checkHead returns an error unless the head is that of a final response whose end is known. On a
// reused connection it also returns one when an earlier response is mixed into the head.
func checkHead(response *http.Response, trip *contract.RoundTrip, watch *watchedConn) error {
	switch {
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return errNoStatus
	case response.StatusCode < http.StatusOK:
		return errNotFinal
	case trip.Reused() && hasTwoHeads(response):
		return errTwoHeads
	case watch.hasHTTP10TransferEncoding():
		return errFraming
	}
	return nil
}

// hasTwoHeads reports whether the head begins with a part of another response's head, as when a
// target writes a part of an earlier response once more before this one. This one's status line
// then stands at the end of the status, or of a field, in which the part ends. The status and the
// fields before it belong to the earlier response, so that neither can be trusted.
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
