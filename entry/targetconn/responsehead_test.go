package targetconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/network"
)

// TestHeadsAreFollowedUpToTheBody guards against a head whose size depends on how it arrives, that
// ends at an interim response, or that includes a part of the body.
func TestHeadsAreFollowedUpToTheBody(t *testing.T) {
	for text, want := range map[string]responseHead{
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody\r\n":                       {lines: 3, isDone: true},
		"HTTP/1.0 200 OK\nX: y\n\nbody\n":                               {lines: 3, isDone: true},
		"HTTP/1.1 200 OK\r\nX: y\r\n":                                   {lines: 2},
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\n\r": {lines: 4},
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 \r\n\r\n":            {lines: 4, isDone: true},
		"\r\nHTTP/1.1 200 OK\r\n\r\n":                                   {lines: 3, isDone: true},
		"noise without an end":                                          {},
	} {
		for size := 1; size <= len(text); size++ {
			var head responseHead
			for at := 0; at < len(text); at += size {
				head.observe([]byte(text[at:min(at+size, len(text))]))
			}
			if head.lines != want.lines || head.isDone != want.isDone {
				t.Errorf("%q in parts of %d: %d lines, done %v", text, size, head.lines, head.isDone)
			}
		}
	}
}

// startEndlessHead starts a target that answers each connection with the begin of a head and is then
// silent.
func startEndlessHead(t *testing.T, begin string) (address string) {
	t.Helper()
	return startTCPTarget(t, func(conn *net.TCPConn) {
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Read(make([]byte, 4<<10))
		_, _ = conn.Write([]byte(begin))
	})
}

// fieldsOf returns a head's begin with short fields of different names.
func fieldsOf(bytes int) string {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; head.Len() < bytes; i++ {
		_, _ = fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String()
}

// TestHeadsOfManyFieldsNeedLittleMemory guards against heads of short fields without end, whose parsed
// form needs fifteen times the bytes that net/http allows, also where no budget bounds them.
func TestHeadsOfManyFieldsNeedLittleMemory(t *testing.T) {
	const attempts = 200
	pool := New(startEndlessHead(t, fieldsOf(maxResponseHeadBytes-100)), network.OS{}, DefaultOptions(attempts))
	defer pool.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var all sync.WaitGroup
	for range attempts {
		all.Go(func() {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/", nil)
			if err != nil {
				t.Error(err)
				return
			}
			if _, _, err := Send(pool, "t", request); err == nil {
				t.Error("a head without end is a response")
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // the heads have arrived, and the attempts are in progress
	runtime.GC()
	runtime.ReadMemStats(&after)
	all.Wait()
	perHead := int64(maxHeadLines*lineMemory + textCopies*maxResponseHeadBytes)
	if growth := int64(after.HeapAlloc) - int64(before.HeapAlloc); growth > attempts*perHead {
		t.Errorf("the heap has grown by %d bytes for %d heads", growth, attempts)
	}
}

// TestHeadWithoutMemoryEndsTheAttempt guards against an attempt that goes on, or that counts as reset
// by the target, when there is no memory for the head of its response, and against a small head that
// is charged for.
func TestHeadWithoutMemoryEndsTheAttempt(t *testing.T) {
	for _, c := range []struct {
		name     string
		begin    string
		hasRoom  bool
		isWrong  bool
		isLarger bool
	}{
		{"large head, no room", fieldsOf(8 << 10), false, true, true},
		{"large head, room", fieldsOf(4<<10) + "\r\n", true, false, true},
		{"small head, no room", "HTTP/1.1 204 No Content\r\n\r\n", false, false, false},
		{"too many fields", fieldsOf(32 << 10), true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			most := int64(0)
			trip := &contract.RoundTrip{HoldHead: func(bytes int64) bool {
				most = max(most, bytes)
				return c.hasRoom
			}}
			pool := New(startEndlessHead(t, c.begin), network.OS{}, DefaultOptions(1))
			defer pool.Close()
			ctx, cancel := context.WithTimeout(contract.WithRoundTrip(t.Context(), trip), 5*time.Second)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://a.example/", nil)
			if err != nil {
				t.Fatal(err)
			}
			x, _, err := Send(pool, "t", request)
			if err == nil {
				x.Finish(false)
			}
			var failure *contract.RoundTripError
			if isWrong := errors.As(err, &failure) && failure.Kind == contract.AttemptWrong; isWrong != c.isWrong || (err != nil) != c.isWrong {
				t.Errorf("the attempt ended with %v", err)
			}
			if (most > usualHeadBytes) != c.isLarger {
				t.Errorf("%d bytes were to be held", most)
			}
		})
	}
}

// TestChunksOfHTTP10AreFound guards against the framing of chunks that is taken for content, however
// the head arrives, and against responses of other versions that are taken for faulty.
func TestChunksOfHTTP10AreFound(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n0":                     true,
		"HTTP/1.0 200 OK\ntransfer-encoding: chunked\n\n0":                                   true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0":                             false,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":                          false,
		"HTTP/1.0 200 OK\r\nX: y\r\nTRANSFER-ENCODING:chunked\r\n\r\n":                       true,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n":                             false,
		"HTTP/1.0 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n": false,
		"HTTP/1.0 200 OK\r\nX: Transfer-Encoding: chunked\r\n\r\n":                           false,
	} {
		for size := 1; size <= len(text); size++ {
			var head responseHead
			for at := 0; at < len(text); at += size {
				head.observe([]byte(text[at:min(at+size, len(text))]))
			}
			if got := head.hasFaultyEncoding; got != want {
				t.Errorf("%q in parts of %d: %v, want %v", text, size, got, want)
			}
		}
	}
}
