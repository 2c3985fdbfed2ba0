package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
)

// request is one request of a requester, and how it ended.
type request struct {
	id, method, host, path, body, vm string
	limit                            time.Duration
	sent, ended                      time.Time
	// status is zero when the connection ended without an answer.
	status int
	sealed bool
	answer string
	err    error
}

// requesters send requests to the daemons, each over a connection of its own.
type requesters struct {
	record *record
	prefix string
	count  atomic.Int64

	mu  sync.Mutex
	all []*request
}

func newRequesters(record *record) *requesters {
	return &requesters{record: record, prefix: fmt.Sprintf("%08x", rand.Uint32())}
}

// send sends a request on a new connection and waits for its answer.
func (q *requesters) send(v *vm, r request) *request {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r.id, r.vm = fmt.Sprintf("%s%06x", q.prefix, q.count.Add(1)), v.name
	ctx, cancel := context.WithTimeout(context.Background(), r.limit)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+v.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		panic(err) // the requests of a case are well-formed
	}
	out.Host = r.host
	headers.WriteRequest(out.Header, dialect.Request{AttemptID: r.id, Remaining: r.limit})
	r.sent = time.Now()
	response, err := transport.RoundTrip(out)
	r.err = err
	if err == nil {
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		r.status, r.answer, r.err = response.StatusCode, string(content), err
		r.sealed = headers.ReadResponse(response).Signed
	}
	r.ended = time.Now()
	q.record.line("%s %s %s to %s: %d after %d ms, error %v", r.id, r.method, r.path, v.name, r.status, r.ended.Sub(r.sent).Milliseconds(), r.err)
	q.mu.Lock()
	q.all = append(q.all, &r)
	q.mu.Unlock()
	return &r
}

// stream sends requests at a rate until the context ends, and waits for the last one.
func (q *requesters) stream(ctx context.Context, every time.Duration, next func(i int) (*vm, request)) {
	var pending sync.WaitGroup
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			pending.Wait()
			return
		case <-ticker.C:
		}
		v, r := next(i)
		pending.Go(func() { q.send(v, r) })
	}
}

// byID returns the requests by their ids.
func (q *requesters) byID() map[string]*request {
	q.mu.Lock()
	defer q.mu.Unlock()
	found := make(map[string]*request, len(q.all))
	for _, r := range q.all {
		found[r.id] = r
	}
	return found
}
