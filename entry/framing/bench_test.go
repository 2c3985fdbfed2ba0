package framing

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkScan measures the following of a request with a usual head and a body of 1 KB.
func BenchmarkScan(b *testing.B) {
	fields := "User-Agent: caller/1.0\r\nAccept: */*\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer 0123456789abcdef\r\nContent-Length: 1024\r\n"
	request := []byte(post("/bookings/17", fields, strings.Repeat("x", 1024)))
	var f framer
	b.SetBytes(int64(len(request)))
	b.ReportAllocs()
	for b.Loop() {
		if followed := f.add(request); followed != len(request) || f.state == refused {
			b.Fatal("refused")
		}
	}
}

// BenchmarkCounter measures what following costs for the bytes of typical requests.
func BenchmarkCounter(b *testing.B) {
	const readBytes = 32 << 10
	fields := "Host: a.example\r\nUser-Agent: benchmark/1.0\r\nAccept: */*\r\nCookie: " + strings.Repeat("c", 200) + "\r\nContent-Type: text/plain\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 8<<10, bytes.Repeat([]byte("x"), 8<<10))
	for _, c := range []struct{ name, request string }{
		{"head", "GET /look/1 HTTP/1.1\r\n" + fields + "\r\n"},
		{"body=1MiB", fmt.Sprintf("POST /book/1 HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", fields, 1<<20, bytes.Repeat([]byte("x"), 1<<20))},
		{"chunks=1MiB", "POST /book/1 HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, 128) + "0\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			f, request := &framer{}, []byte(c.request)
			b.SetBytes(int64(len(request)))
			b.ReportAllocs()
			for b.Loop() {
				for rest := request; len(rest) > 0; {
					n := min(readBytes, len(rest))
					f.add(rest[:n])
					rest = rest[n:]
				}
			}
		})
	}
}
