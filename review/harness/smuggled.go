package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

// head returns the head of a request with some fields more.
func head(path, id string, fields http.Header) string {
	platform.Headers{}.WriteRequest(fields, dialect.Request{AttemptID: id, Remaining: 2 * time.Second})
	var text strings.Builder
	_ = fields.Write(&text)
	return "POST " + path + " HTTP/1.1\r\nHost: " + recordsHost + "\r\n" + text.String() + "\r\n"
}

// playSmuggled: a requester's body holds the text of another request, and its head names both a
// length and chunks.
func playSmuggled(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, 2); err != nil {
		return cantRun, err
	}
	inner := newID()
	body := "0\r\n\r\n" + head("/bookings/inner", inner, http.Header{"Content-Length": {"0"}})
	fields := http.Header{"Content-Length": {strconv.Itoa(len(body))}}
	if trouble {
		fields.Set("Transfer-Encoding", "chunked")
	}
	conn, err := net.Dial("tcp", d.fronts[0].at(d.ports.front))
	if err != nil {
		return cantRun, err
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head("/bookings/outer", newID(), fields)+body)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	got, _ := io.ReadAll(conn)
	d.record.note("answers: %q", got)
	verdict := held
	for _, one := range d.book.all() {
		d.record.noteAt(one.at, "%s", describe(one))
		if one.id == inner {
			verdict = broken
		}
	}
	return verdict, nil
}
