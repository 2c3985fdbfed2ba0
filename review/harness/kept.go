package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

// keptClient is a requester that keeps its connection to a machine open for many requests.
type keptClient struct {
	r         *record
	address   string
	transport *http.Transport
}

func newKeptClient(r *record, address string) *keptClient {
	return &keptClient{r: r, address: address, transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}}
}

// send sends one request over the kept connection and reads its answer as it comes. A body is sent in
// chunks.
func (c *keptClient) send(method, path string, limit time.Duration, content []byte, body io.Reader) sent {
	s := sent{id: newID(), method: method, path: path, address: c.address, at: time.Now(), bodyBytes: int64(len(content))}
	sum := sha256.Sum256(content)
	s.bodyHash = hex.EncodeToString(sum[:])
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		s.err = err
		return s
	}
	out.Host = recordsHost
	platform.Headers{}.WriteRequest(out.Header, dialect.Request{AttemptID: s.id, Remaining: limit})
	c.r.note("request %s %s %s is sent to %s over a kept connection with %d bytes of body", s.id, method, path, c.address, s.bodyBytes)
	response, err := c.transport.RoundTrip(out)
	if err != nil {
		s.err = err
		c.r.note("request %s gets no answer: %v", s.id, err)
		return s
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	s.status, s.err = response.StatusCode, err
	s.sealed = platform.Headers{}.ReadResponse(response).Signed
	c.r.note("request %s is answered %d with %d bytes (seal: %v, body error: %v)", s.id, s.status, len(answer), s.sealed, err)
	return s
}

// pacedBody is the body of a requester with a link of about 4 MB a second.
type pacedBody struct{ rest []byte }

// Read waits as long as the link needs for the bytes.
func (p *pacedBody) Read(b []byte) (int, error) {
	const piece, pause = 16 << 10, 4 * time.Millisecond
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	time.Sleep(pause)
	n := copy(b[:min(len(b), piece)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// newContent returns random bytes.
func newContent(size int) []byte {
	content := make([]byte, size)
	_, _ = rand.Read(content)
	return content
}
