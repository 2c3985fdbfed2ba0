package framing

import (
	"strings"
	"testing"
)

// BenchmarkScan measures the following of a request with a usual head and a body of 1 KB.
func BenchmarkScan(b *testing.B) {
	fields := "User-Agent: caller/1.0\r\nAccept: */*\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer 0123456789abcdef\r\nContent-Length: 1024\r\n"
	request := []byte(post("/bookings/17", fields, strings.Repeat("x", 1024)))
	var s scanner
	b.SetBytes(int64(len(request)))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.scan(request); !ok {
			b.Fatal("refused")
		}
	}
}
