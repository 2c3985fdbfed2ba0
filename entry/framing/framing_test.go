package framing

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

const address = "10.0.0.1:80"

// exchange sends bytes, in parts of random sizes, to a server behind a Listener. It returns the
// statuses of its responses, whether it closed the connection, and the requests that it served.
func exchange(t *testing.T, sent string, seed uint64) (statuses []int, closed bool, served []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Host("10.0.0.1").Listen(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			served = append(served, fmt.Sprintf("%s %s %v", r.URL.Path, body, err))
		})}
		go func() { _ = server.Serve(Listener(listener, Options{})) }()
		defer func() { _ = server.Close() }()
		conn, err := network.Host("10.0.0.9").DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		var sending sync.WaitGroup
		defer sending.Wait()
		defer func() { _ = conn.Close() }()
		sending.Go(func() { sendInParts(conn, sent, seed) })
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		statuses, closed = readStatuses(conn)
		mu.Lock()
		defer mu.Unlock()
	})
	return statuses, closed, served
}

// sendInParts sends bytes in parts of random sizes, so that the server reads them in parts.
func sendInParts(conn net.Conn, sent string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	for len(sent) > 0 {
		n := 1 + random.IntN(min(40, len(sent)))
		if _, err := io.WriteString(conn, sent[:n]); err != nil {
			return
		}
		sent = sent[n:]
		time.Sleep(time.Millisecond)
	}
}

// readStatuses reads responses until the connection is closed or its deadline is reached.
func readStatuses(conn net.Conn) (statuses []int, closed bool) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, !isTimeout(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func post(path, fields, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\n" + fields + "\r\n" + body
}

// inner is a request that stands in the body of another.
var inner = post("/inner", "Content-Length: 0\r\n", "")

// sound are requests whose length can be read in one way, with what the server reads of them.
var sound = map[string]string{
	"GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n":                                                              "/none  <nil>",
	post("/length", "Content-Length: 5\r\n", "12345"):                                                            "/length 12345 <nil>",
	post("/twice", "Content-Length: 5\r\nContent-Length: 5\r\n", "12345"):                                        "/twice 12345 <nil>",
	post("/head", fmt.Sprintf("Content-Length: %d\r\n", len(inner)), inner):                                      "/head " + inner + " <nil>",
	post("/chunks", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\nA;x=\"y\"\r\n0123456789\r\n0\r\n\r\n"):        "/chunks abc0123456789 <nil>",
	post("/trailer", "Transfer-Encoding: Chunked\r\nTrailer: X\r\n", "1\r\na\r\n0\r\nX: 1\r\nY: 2\r\n\r\n"):      "/trailer a <nil>",
	post("/text", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)):     "/text " + inner + " <nil>",
	post("/other", "X: Content-Length: 5\r\nX-Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"): "/other  <nil>",
	post("/long", "X: "+strings.Repeat("x", 3*maxLine)+"\r\nContent-Length: 2\r\n", "ab"):                        "/long ab <nil>",
	post("/lf", "Content-Length:2 \r\n", "ab"):                                                                   "/lf ab <nil>",
	"POST /bare HTTP/1.1\nHost: a.example\nTransfer-Encoding: chunked\n\n1\r\na\r\n0\r\n\r\n":                    "/bare a <nil>",
	post("/empty", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"):                                                "/empty  <nil>",
	post("/large", "Transfer-Encoding: chunked\r\n", "2000\r\n"+strings.Repeat("x", 0x2000)+"\r\n0\r\n\r\n"):     "/large " + strings.Repeat("x", 0x2000) + " <nil>",
	post("/folded", "Content-Length:\r\n 3\r\n", "abc"):                                                          "/folded abc <nil>",
	post("/case", "cOnTeNt-LeNgTh: 1\r\n", "a"):                                                                  "/case a <nil>",
	"POST /" + strings.Repeat("p", 2*maxLine) + " HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\na":     "/" + strings.Repeat("p", 2*maxLine) + " a <nil>",
	strings.Repeat("M", maxLine) + " /method HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\na":          "/method a <nil>",
	post("/name", strings.Repeat("x", 2*maxLine)+": 1\r\nContent-Length: 1\r\n", "a"):                            "/name a <nil>",
	post("/options", "Connection:"+strings.Repeat(" x,", maxLine)+"\r\nContent-Length: 1\r\n", "a"):              "/options a <nil>",
	post("/encoding", "Transfer-Encoding:\r\n\tchunked\r\n", "1\r\na\r\n0\r\n\r\n"):                              "/encoding a <nil>",
	post("/zeros", "Transfer-Encoding: chunked\r\n", "0001\r\na\r\n00\r\n\r\n"):                                  "/zeros a <nil>",
}

// contradictory are requests whose length can be read in two ways.
var contradictory = []string{
	post("/outer", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+inner),
	post("/outer", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+inner),
	post("/outer", "transfer-encoding: chunked\r\nX: 1\r\ncontent-length: 0\r\n", "0\r\n\r\n"+inner),
	post("/outer", "Transfer-Encoding:\r\n chunked\r\nContent-Length:\r\n 5\r\n", "0\r\n\r\n"+inner),
	post("/outer", "Content-Length: 5\r\nContent-Length: 6\r\n", "0\r\n\r\n"+inner),
	post("/outer", "Content-Length: 5, 6\r\n", "0\r\n\r\n"+inner),
	"POST /outer HTTP/1.0\r\nHost: a.example\r\nConnection: keep-alive\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner,
	"POST /outer HTTP/1.1\nHost: a.example\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\r\n\r\n" + inner,
	post("/outer", "Content-Length: 5\r\n"+strings.Repeat("X: "+strings.Repeat("x", maxLine)+"\r\n", 3)+"Transfer-Encoding: chunked\r\n", "0\r\n\r\n"+inner),
}

// TestSoundRequestsAreServed guards against a sound request that is refused, or whose connection is
// closed, since the end of an earlier one on the connection was taken for elsewhere.
func TestSoundRequestsAreServed(t *testing.T) {
	var all, want string
	for round := range 3 {
		for text, read := range sound { // in another order each time
			all += text
			want += read + "\n"
		}
		statuses, closed, served := exchange(t, all, uint64(round))
		if got := strings.Join(served, "\n") + "\n"; got != want || closed || len(statuses) != len(sound)*(round+1) {
			t.Fatalf("statuses %v, closed %v, served\n%s\nwant\n%s", statuses, closed, got, want)
		}
	}
}

// TestContradictoryLengthsAreRefused guards against a request in the body of another one, which runs
// since the server and a proxy before it take the length of the outer one from different fields: alone
// on the connection, and behind each sound request.
func TestContradictoryLengthsAreRefused(t *testing.T) {
	for i, text := range contradictory {
		for before, read := range sound {
			want := []string{read}
			statuses, closed, served := exchange(t, before+text+inner, uint64(i))
			if len(statuses) != 2 || statuses[0] != http.StatusOK || statuses[1] != http.StatusBadRequest || !closed || strings.Join(served, "|") != strings.Join(want, "|") {
				t.Errorf("%.300q: statuses %v, closed %v, served %q", before+text, statuses, closed, served)
			}
		}
		if statuses, closed, served := exchange(t, text+inner, uint64(i)); len(statuses) != 1 || statuses[0] != http.StatusBadRequest || !closed || len(served) != 0 {
			t.Errorf("%.300q: statuses %v, closed %v, served %q", text, statuses, closed, served)
		}
	}
}

// TestHTTP2PassesUnchanged guards against a connection of HTTP/2 whose frames are taken for requests.
func TestHTTP2PassesUnchanged(t *testing.T) {
	sent := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + contradictory[0]
	if got := passThrough(t, []byte(sent), 7); string(got) != sent {
		t.Errorf("read %q", got)
	}
}

// passThrough returns what a Conn reads of the bytes of a connection, with buffers of a size.
func passThrough(t *testing.T, sent []byte, size int) []byte {
	t.Helper()
	conn := &Conn{Conn: &byteConn{Reader: bytes.NewReader(sent)}}
	var got []byte
	buffer := make([]byte, size)
	for {
		n, err := conn.Read(buffer)
		got = append(got, buffer[:n]...)
		if err != nil {
			return got
		}
	}
}

// byteConn is a connection on which some bytes arrive.
type byteConn struct {
	net.Conn
	io.Reader
}

func (c *byteConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }

// FuzzFraming guards against bytes that are changed or lost, against a decision that depends on the size
// of reads, and against a Conn and net/http that disagree on where a request ends: no request that
// net/http serves may have two lengths.
func FuzzFraming(f *testing.F) {
	for text := range sound {
		f.Add([]byte(text), 100)
	}
	for _, text := range contradictory {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		size = 1 + max(size, -size)%200
		got := passThrough(t, sent, size)
		kept := bytes.TrimSuffix(got, []byte(malformedLine))
		if !bytes.HasPrefix(sent, kept) {
			t.Fatalf("read %q of %q", got, sent)
		}
		if whole := passThrough(t, sent, len(sent)+1); !bytes.Equal(whole, got) {
			t.Fatalf("read %q with a buffer of %d and %q with a large one", got, size, whole)
		}
		checkServed(t, got)
	})
}

// checkServed reads requests as a server does, and fails for one with both a length and an encoding.
func checkServed(t *testing.T, content []byte) {
	t.Helper()
	source := bytes.NewReader(content)
	reader := bufio.NewReader(source)
	for {
		begin := len(content) - source.Len() - reader.Buffered()
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, fields, _ := bytes.Cut(content[begin:], []byte("\n"))
		head, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
		if len(head["Content-Length"]) > 0 && len(head["Transfer-Encoding"]) > 0 {
			t.Fatalf("served with two lengths: %q of %q", content[begin:], content)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// TestServerAnswersUnsupportedRequests guards against a 400 in place of the status by which net/http's
// server tells why it doesn't support a request.
func TestServerAnswersUnsupportedRequests(t *testing.T) {
	for text, want := range map[string]int{
		post("/outer", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"):                     http.StatusNotImplemented,
		post("/outer", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n"): http.StatusNotImplemented,
		"GET /outer HTTP/3.0\r\nHost: a.example\r\n\r\n":                                        http.StatusHTTPVersionNotSupported,
	} {
		statuses, closed, served := exchange(t, text+inner, 1)
		if len(statuses) != 1 || statuses[0] != want || !closed || len(served) != 0 {
			t.Errorf("%q: statuses %v, closed %v, served %q", text, statuses, closed, served)
		}
	}
}

// TestRequestsWithoutAKnownEndAreRefused guards against a request that runs although its end, and with it
// the beginning of the next one, isn't known.
func TestRequestsWithoutAKnownEndAreRefused(t *testing.T) {
	for i, fields := range []string{
		"Content-Length: " + strings.Repeat("0", 2*maxLine) + "5\r\n",
		"Transfer-Encoding: chunked" + strings.Repeat(" ", 2*maxLine) + "\r\n",
		"Content-Length:\r\n " + strings.Repeat("0", 2*maxLine) + "5\r\n",
		"Content-Length: 1\r\n 2\r\n",
		"Content-Length:\r\n",
		"Content-Length:\r\nContent-Length: 5\r\n",
		"Content-Length: -5\r\n",
		"Content-Length : 5\r\n",
	} {
		statuses, closed, served := exchange(t, inner+post("/outer", fields, "12345")+inner, uint64(i))
		if fmt.Sprint(statuses) != "[200 400]" || !closed || fmt.Sprint(served) != "[/inner  <nil>]" {
			t.Errorf("%.100q: statuses %v, closed %v, served %q", fields, statuses, closed, served)
		}
	}
}

// TestMalformedTrailersEndTheirConnection guards against a server that waits for the end of trailers whose
// rest is discarded.
func TestMalformedTrailersEndTheirConnection(t *testing.T) {
	text := post("/outer", "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nX: 1\nY: 2\r\n\r\n")
	if _, closed, served := exchange(t, text+inner, 1); !closed || len(served) != 1 || strings.HasSuffix(served[0], "<nil>") {
		t.Errorf("closed %v, served %q", closed, served)
	}
}
