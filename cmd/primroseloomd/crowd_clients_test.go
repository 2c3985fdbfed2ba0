package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 600
	// crowdTime is how long a crowd holds on before the first ordinary request.
	crowdTime = 1500 * time.Millisecond
	// pieceBytes and piecePause are what a caller that sends in small pieces sends at a time.
	pieceBytes, piecePause = 512, time.Millisecond
	// excessBytes is what a caller sends at most of a body far over the limit.
	excessBytes = 8 << 20
	// aheadRequests is the number of requests that a caller sends without reading a response.
	aheadRequests = 2000
)

// client is how one caller of a crowd behaves on its connection. It returns once it has sent what it
// sends; its connection then stays open until the crowd leaves.
type client struct {
	name string
	// act sends to a endpoint; i numbers the callers.
	act func(ctx context.Context, conn net.Conn, d endpoint, i int)
}

// send writes text; the VM may have closed the connection, which is allowed.
func send(conn io.Writer, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// sendSlowly writes text in pieces with pauses.
func sendSlowly(ctx context.Context, conn io.Writer, text string, piece int, pause time.Duration) {
	for len(text) > 0 && ctx.Err() == nil {
		n := min(piece, len(text))
		if !send(conn, text[:n]) {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// sendWithoutEnd writes text again and again, up to excessBytes.
func sendWithoutEnd(ctx context.Context, conn io.Writer, text string) {
	for sent := 0; sent < excessBytes && ctx.Err() == nil && send(conn, text); sent += len(text) {
		continue
	}
}

// withLength returns the head of a request with a body of a length.
func withLength(d endpoint, i int, length int64) string {
	return d.head(http.MethodPost, strconv.Itoa(i)) + "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n\r\n"
}

// withChunks returns the head of a request with a body in chunks.
func withChunks(d endpoint, i int) string {
	return d.head(http.MethodPost, strconv.Itoa(i)) + "Transfer-Encoding: chunked\r\n\r\n"
}

// fieldsOf returns many short fields of different names, of at least a number of bytes.
func fieldsOf(bytes int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < bytes; i++ {
		fields.WriteString(strconv.FormatInt(int64(i), 36))
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

// clients are those of the crowds.
func clients() []client {
	body := strings.Repeat("x", crowdBodyBytes)
	small := body[:64<<10]
	// A head may have crowdHeaderBytes; its first lines have less than 600.
	legalFields := fieldsOf(crowdHeaderBytes - 600)
	manyFields := fieldsOf(60 << 10)
	chunk := "400;extension=1\r\n" + body[:1<<10] + "\r\n"
	return []client{
		{"bodies but for a byte", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, withLength(d, i, crowdBodyBytes)+body[1:])
		}},
		{"small bodies but for a byte", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, withLength(d, i, 10)+body[:9])
		}},
		{"bodies in small pieces", func(ctx context.Context, conn net.Conn, d endpoint, i int) {
			sendSlowly(ctx, conn, withLength(d, i, int64(len(small)))+small[1:], pieceBytes, piecePause)
		}},
		{"bodies in chunks", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, withChunks(d, i)+strings.Repeat(chunk, 500)+"1")
		}},
		{"chunks of a byte", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, withChunks(d, i)+strings.Repeat("1\r\nx\r\n", 10_000))
		}},
		{"bodies far over the limit", func(ctx context.Context, conn net.Conn, d endpoint, i int) {
			if i%2 == 0 {
				send(conn, withLength(d, i, 1<<40))
				sendWithoutEnd(ctx, conn, small)
				return
			}
			send(conn, withChunks(d, i))
			sendWithoutEnd(ctx, conn, "10000\r\n"+small+"\r\n")
		}},
		{"bodies after Expect", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, d.head(http.MethodPost, strconv.Itoa(i))+"Expect: 100-continue\r\nContent-Length: 1000000\r\n\r\n")
		}},
		{"short fields", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, d.head(http.MethodPost, strconv.Itoa(i))+legalFields+"Content-Length: 10\r\n\r\n123456789")
		}},
		{"heads of short fields without their end", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, d.head(http.MethodGet, strconv.Itoa(i))+manyFields)
		}},
		{"heads of one field without their end", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, d.head(http.MethodGet, strconv.Itoa(i))+"Field: "+body[:60<<10])
		}},
		{"heads a byte at a time", func(ctx context.Context, conn net.Conn, d endpoint, i int) {
			sendSlowly(ctx, conn, d.head(http.MethodGet, strconv.Itoa(i)), 1, 30*time.Millisecond)
		}},
		{"nothing", func(context.Context, net.Conn, endpoint, int) {}},
		{"requests sent ahead", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, d.head(http.MethodGet, slowPath)+"\r\n"+strings.Repeat(d.head(http.MethodGet, strconv.Itoa(i))+"\r\n", aheadRequests))
		}},
		{"responses not read", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			send(conn, strings.Repeat(d.head(http.MethodGet, strconv.Itoa(i))+"\r\n", aheadRequests))
		}},
		{"HTTP/1.0", func(_ context.Context, conn net.Conn, d endpoint, i int) {
			old := strings.Replace(withLength(d, i, 1000), "HTTP/1.1", "HTTP/1.0", 1)
			send(conn, old+body[:999])
		}},
		{"HTTP/2", func(_ context.Context, conn net.Conn, d endpoint, _ int) { sendStreams(conn, d) }},
	}
}

// sendStreams opens a connection of HTTP/2 with many streams, whose bodies do not end.
func sendStreams(conn net.Conn, d endpoint) {
	const streams, fields = 100, 100
	if !send(conn, http2.ClientPreface) {
		return
	}
	framer := http2.NewFramer(conn, conn)
	if framer.WriteSettings() != nil {
		return
	}
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for stream := range uint32(streams) {
		block.Reset()
		for _, field := range [][2]string{{":method", http.MethodPost}, {":scheme", "http"}, {":authority", d.host}, {":path", d.path + "1"}, {"content-length", "70000"}} {
			_ = encoder.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}) // a strings.Builder takes all
		}
		for line := range strings.Lines(d.header) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			_ = encoder.WriteField(hpack.HeaderField{Name: strings.ToLower(name), Value: value})
		}
		for i := range fields {
			_ = encoder.WriteField(hpack.HeaderField{Name: "f" + strconv.Itoa(i), Value: "1"})
		}
		id := 2*stream + 1
		if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: []byte(block.String()), EndHeaders: true}) != nil {
			return
		}
		if framer.WriteData(id, false, make([]byte, 8<<10)) != nil {
			return
		}
	}
}

// crowd is many callers that hold their connections.
type crowd struct {
	leave   context.CancelFunc
	callers sync.WaitGroup
}

// startCrowd lets callers come to a endpoint, each on a connection of its own, and returns once they have had
// time to send. A connection that the VM closes stays closed.
func startCrowd(ctx context.Context, d endpoint, clientOf func(i int) client) *crowd {
	ctx, leave := context.WithCancel(ctx)
	c := &crowd{leave: leave}
	for i := range crowdSize {
		c.callers.Go(func() {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", d.address)
			if err != nil {
				return
			}
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			clientOf(i).act(ctx, conn, d, i)
			<-ctx.Done()
			c.end(conn, i)
		})
	}
	select {
	case <-time.After(crowdTime):
	case <-ctx.Done():
	}
	return c
}

// end closes a caller's connection, every other one with a reset.
func (c *crowd) end(conn net.Conn, i int) {
	if tcp, ok := conn.(*net.TCPConn); ok && i%2 == 0 {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// end makes the crowd leave and waits for it.
func (c *crowd) stop() {
	c.leave()
	c.callers.Wait()
}

func (c client) String() string { return fmt.Sprintf("%q", c.name) }
