package framing

import (
	"fmt"
	"strings"
	"testing"
)

const lookup = "GET /look HTTP/1.1\r\nHost: a.example\r\n\r\n"

// booking returns a request with a body by length.
func booking(body string) string {
	return fmt.Sprintf("POST /book HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// chunked returns a request whose body is given in chunks.
func chunked(chunks string) string {
	return "POST /book HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunks
}

// TestWholeRequestsAreCounted guards against a stop that closes a connection before its last
// request is answered, wherever the byte stream is split, and against one that waits for a
// request that has not arrived.
func TestWholeRequestsAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, stream string
		begun        int
		want         bool
	}{
		{"one", lookup, 1, false},
		{"two, one begun", lookup + lookup, 1, true},
		{"two, both begun", lookup + lookup, 2, false},
		{"one and a part", lookup + lookup[:len(lookup)-1], 1, false},
		{"behind an empty line", lookup + "\r\n\r\n" + lookup, 1, false},
		{"a body like the end of a head", booking("\r\n\r\n"), 1, false},
		{"a body like requests", booking(lookup + lookup), 1, false},
		{"behind a body like requests", booking(lookup+lookup) + lookup, 1, true},
		{"behind a body that was answered", booking("slot") + lookup + lookup, 2, true},
		{"a body with its last byte missing", lookup + booking("slot")[:len(booking("slot"))-1], 1, false},
		{"a whole body", lookup + booking("slot"), 1, true},
		{"an empty body", lookup + booking(""), 1, true},
		{"chunks like requests", chunked("26\r\n" + lookup + "\r\n0\r\n\r\n"), 1, false},
		{"behind chunks", chunked("4\r\nslot\r\n0\r\n\r\n") + lookup, 1, true},
		{"behind chunks with extensions and trailers", chunked("4;a=\"b\"\r\nslot\r\n00;c\r\nSum: 1\r\nEnd: 2\r\n\r\n") + lookup, 1, true},
		{"chunks without their end", lookup + chunked("4\r\nslot\r\n0\r\n"), 1, false},
		{"trailers without their end", lookup + chunked("0\r\nSum: 1\r\n"), 1, false},
		{"behind an empty line behind a POST request", booking("slot") + "\r\n\r\n" + lookup, 1, true},
		{"behind a body that waits for 100 Continue", "PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nslot" + lookup, 1, true},
		{"a body that waits for 100 Continue", lookup + "PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", 1, false},
		{"heads with bare line feeds", "GET / HTTP/1.1\nHost: a\n\n" + lookup, 1, true},
		{"a continued field", "GET / HTTP/1.1\r\nHost: a\r\nCookie: a\r\n Content-Length: 9\r\n\r\n" + lookup, 1, true},
		{"a continued length", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 9\r\n\r\n" + lookup, 1, false},
		{"behind a continued length", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 4\r\n\r\nslot" + lookup, 1, true},
		{"a continued length with its last byte missing", lookup + "GET / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n 4\r\n\r\nslo", 1, false},
		{"a length of two lines", "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n 2\r\n\r\n" + lookup, 0, false},
		{"behind a request that closes", "GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n" + lookup, 1, false},
		{"behind HTTP/1.0", "GET / HTTP/1.0\r\n\r\n" + lookup, 1, false},
		{"behind HTTP/1.0 that stays open", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + lookup, 1, true},
		{"equal lengths", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\ncontent-length: 4\r\n\r\nslot" + lookup, 1, true},
		{"different lengths", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nslot" + lookup, 0, false},
		{"a negative length", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n" + lookup, 0, false},
		{"a length and chunks", "PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + lookup, 0, false},
		{"another encoding", "PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + lookup, 0, false},
		{"a chunk longer than its size", chunked("4\r\nslots\r\n0\r\n\r\n") + lookup, 0, false},
		{"a chunk without a size", chunked("\r\n0\r\n\r\n") + lookup, 0, false},
		{"HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + lookup + lookup, 0, false},
		{"no HTTP", "\x16\x03\x01\r\n\r\n" + lookup + lookup, 0, false},
		{"a head of 64 KiB", strings.Replace(lookup, "\r\n\r\n", "\r\nCookie: "+strings.Repeat("c", 64<<10)+"\r\n\r\n", 1) + lookup, 1, true},
		{"a path of 64 KiB", "POST /" + strings.Repeat("p", 64<<10) + lookup[len("GET /look"):] + "\r\n" + lookup, 1, true},
	} {
		splits := max(1, len(c.stream)/1000) // heads of 64 KiB are not split at each byte
		for split := 0; split < len(c.stream); split += splits {
			counted := &framer{}
			counted.add([]byte(c.stream[:split]))
			counted.add([]byte(c.stream[split:]))
			if got := counted.whole > c.begun; got != c.want {
				t.Errorf("%s, split at %d: a pipelined request %v, want %v", c.name, split, got, c.want)
			}
		}
		bytewise := &framer{}
		for i := range c.stream {
			bytewise.add([]byte(c.stream[i : i+1]))
		}
		if got := bytewise.whole > c.begun; got != c.want || cap(bytewise.line.content) > maxLine {
			t.Errorf("%s, byte by byte: a pipelined request %v, want %v; %d bytes are kept", c.name, got, c.want, cap(bytewise.line.content))
		}
	}
}
