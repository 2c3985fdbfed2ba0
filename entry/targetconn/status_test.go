package targetconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// TestStatusThatHTTPDoesNotHaveIsNoResponse guards against callers who get a status outside 100 to 599, which HTTP
// does not have (RFC 9110, section 15), as a target's response.
func TestStatusThatHTTPDoesNotHaveIsNoResponse(t *testing.T) {
	for status, want := range map[string]bool{
		"000": false, "099": false, "100": false, "199": false, "101": false, "600": false, "999": false, "+20": false, "20": false, "2000": false, "-20": false,
		"200": true, "299": true, "404": true, "599": true,
	} {
		address := startRawTarget(t, 0, func(conn *net.TCPConn, _ io.Reader) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Text\r\nContent-Length: 2\r\n\r\nok", status)
			_ = conn.Close()
		})
		_, err := upload(t, address, nil, 0)
		if (err == nil) != want {
			t.Errorf("status %s: error %v, want a response: %v", status, err, want)
		}
		var failure *contract.RoundTripError
		if err != nil && !errors.As(err, &failure) {
			t.Errorf("status %s: %v is no RoundTripError", status, err)
		}
	}
}
