package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// caller is a requester's connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newCaller(address string) *caller {
	conn := dial(address)
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

func tryCaller(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// sent is a request as it is written.
type sent struct {
	id, method, path, host string
	limitMs                int
	body                   []byte
	isChunked              bool
	fields                 string
}

func (s sent) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s", s.method, s.path, s.host, s.id, s.limitMs, s.fields)
	switch {
	case s.isChunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(s.body) > 0 || s.method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(s.body))
	}
	return b.String() + "\r\n"
}

// send writes a request whole.
func (c *caller) send(s sent) error {
	var b bytes.Buffer
	b.WriteString(s.head())
	if s.isChunked {
		for start := 0; start < len(s.body); start += 64 << 10 {
			part := s.body[start:min(start+64<<10, len(s.body))]
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
		}
		b.WriteString("0\r\n\r\n")
	} else {
		b.Write(s.body)
	}
	_, err := c.conn.Write(b.Bytes())
	return err
}

// answer is what a caller got for a request.
type answer struct {
	status int
	seal   string
	id     string
	body   string
	header http.Header
	err    error
	after  time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.after.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, seal %q, body %q, Retry-After %q", a.status, a.after.Milliseconds(), a.seal, a.body, a.header.Get("Retry-After"))
}

// await reads the answer to a request.
func (c *caller) await(method string, limit time.Duration) answer {
	start := time.Now()
	_ = c.conn.SetReadDeadline(start.Add(limit))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err != nil {
		return answer{err: err, after: time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), id: response.Header.Get("X-Attempt-Id"),
		body: string(body), header: response.Header, err: err, after: time.Since(start),
	}
}

// ask sends a request and waits for its answer.
func (c *caller) ask(s sent) answer {
	note("caller sends %s: %s %s, %d bytes, limit %d ms", s.id, s.method, s.path, len(s.body), s.limitMs)
	start := time.Now()
	go func() {
		if err := c.send(s); err != nil {
			note("caller: %s could not be written whole: %v", s.id, err)
		}
	}()
	a := c.await(s.method, time.Duration(s.limitMs)*time.Millisecond+2*time.Second)
	a.after = time.Since(start)
	note("caller: %s gets %v", s.id, a)
	return a
}

func (c *caller) close() { _ = c.conn.Close() }
