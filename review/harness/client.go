package main

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

// newID returns the identifier of a requester attempt.
func newID() string {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// sent is one request and its answer.
type sent struct {
	id, method, path, address string
	at                        time.Time
	bodyBytes                 int64
	bodyHash                  string
	// status is 0 when the connection ended without an answer.
	status int
	sealed bool
	err    error
}

// request sends one request over a new connection and waits for its answer. A chunked body is
// sent in chunks, another one with its length.
func request(r *record, address, host, method, path string, limit time.Duration, body []byte, reader io.Reader) sent {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	s := sent{id: newID(), method: method, path: path, address: address, at: time.Now(), bodyBytes: int64(len(body))}
	sum := sha256.Sum256(body)
	s.bodyHash = hex.EncodeToString(sum[:])
	r.note("request %s %s %s is sent to %s with %d bytes of body", s.id, method, path, address, s.bodyBytes)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		s.err = err
		return s
	}
	out.Host = host
	platform.Headers{}.WriteRequest(out.Header, dialect.Request{AttemptID: s.id, Remaining: limit})
	response, err := transport.RoundTrip(out)
	if err != nil {
		s.err = err
		r.note("request %s gets no answer: %v", s.id, err)
		return s
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	s.status, s.err = response.StatusCode, err
	s.sealed = platform.Headers{}.ReadResponse(response).Signed
	r.note("request %s is answered %d (seal: %v, body error: %v) %q", s.id, s.status, s.sealed, err, truncate(string(content)))
	return s
}

func truncate(text string) string {
	const most = 120
	if len(text) > most {
		return text[:most]
	}
	return text
}

// describe returns a run as it is recorded.
func describe(one run) string {
	return fmt.Sprintf("request %s runs at %s (%s), sent by machine %s: %s %s, %d bytes of body", one.id, one.upstream, one.service, one.fromIP, one.method, one.target, one.bodyBytes)
}
