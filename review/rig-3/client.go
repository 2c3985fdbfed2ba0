package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

// caller is a requester's connection.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newCaller(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// sent is a POST as it is written.
type sent struct {
	id, path string
	limit    time.Duration
	body     []byte
}

// send writes a request whole.
func (c *caller) send(s sent) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n", s.path, callerHost)
	header := make(http.Header)
	platform.Headers{}.WriteRequest(header, dialect.Request{AttemptID: s.id, Remaining: s.limit})
	_ = header.Write(&b)
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(s.body))
	b.Write(s.body)
	_, err := c.conn.Write(b.Bytes())
	return err
}

// answer is what a caller got for a request.
type answer struct {
	status int
	said   dialect.ResponseMetadata
	body   string
	wait   string
	err    error
	after  time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.after.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, sealed %v, body %q, Retry-After %q", a.status, a.after.Milliseconds(), a.said.Signed, a.body, a.wait)
}

// await reads the answer to a request.
func (c *caller) await(limit time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	}
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, said: platform.Headers{}.ReadResponse(response), body: string(body),
		wait: response.Header.Get("Retry-After"), err: err,
	}
}

// ask sends a request and waits for its answer.
func (c *caller) ask(s sent) answer {
	note("caller sends %s: POST %s, %d bytes, limit %d ms", s.id, s.path, len(s.body), s.limit.Milliseconds())
	start := time.Now()
	go func() {
		if err := c.send(s); err != nil {
			note("caller: %s could not be written whole: %v", s.id, err)
		}
	}()
	a := c.await(s.limit + 2*time.Second)
	a.after = time.Since(start)
	note("caller: %s gets %v", s.id, a)
	return a
}

func (c *caller) close() { _ = c.conn.Close() }
