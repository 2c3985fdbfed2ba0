package framing

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// TestRefusalIsReportedOnce guards against a refused request of which operators learn nothing, and against
// one that is counted for each read of what follows it.
func TestRefusalIsReportedOnce(t *testing.T) {
	for text, want := range map[string]string{
		contradictory[0]: "two_lengths",
		post("/outer", "Content-Length: 5\r\nContent-Length: 6\r\n", "slot"): "two_lengths",
		post("/outer", "Content-Length: x\r\n", "slot"):                      "malformed",
		post("/outer", "Transfer-Encoding: chunked\r\n", "x\r\n"):            "malformed",
		post("/outer", "Content-Length: 4\r\n", "slot"):                      "",
		post("/outer", "Transfer-Encoding: gzip\r\n", "slot"):                "",
	} {
		var lines bytes.Buffer
		scope := tally.NewTestScope("", nil)
		conn := NewConn(addressedConn{byteConn{Reader: strings.NewReader(text + inner + inner)}}, Options{Logger: log.New(&lines), Scope: scope})
		_, _ = io.ReadAll(conn)
		_, _ = conn.Read(make([]byte, 10))
		counted := ""
		for _, counter := range scope.Snapshot().Counters() {
			if counter.Name() == "framing.requests_refused" && counter.Value() == 1 {
				counted += counter.Tags()["reason"]
			}
		}
		isLogged := strings.Count(lines.String(), "event=5007") == 1 && strings.Contains(lines.String(), "reason="+want) && strings.Contains(lines.String(), "address=10.0.0.9:1")
		if counted != want || isLogged != (want != "") || want == "" && lines.Len() > 0 {
			t.Errorf("%.100q: counted %q, logged %q, want %q", text, counted, lines.String(), want)
		}
	}
}

// addressedConn is a connection with a caller's address.
type addressedConn struct{ byteConn }

func (c addressedConn) Read(p []byte) (int, error) { return c.byteConn.Read(p) }

func (c addressedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 1} }
