package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// playSmuggled: a requester's body holds the text of another request, and its head names both a
// length and chunks.
func playSmuggled(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, 2); err != nil {
		return cantRun, err
	}
	inner := newID()
	body := "0\r\n\r\nPOST /bookings/inner HTTP/1.1\r\nHost: " + recordsHost + "\r\nX-Attempt-Id: " + inner + "\r\nX-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
	head := fmt.Sprintf("POST /bookings/outer HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: %d\r\n", recordsHost, newID(), len(body))
	if trouble {
		head += "Transfer-Encoding: chunked\r\n"
	}
	conn, err := net.Dial("tcp", d.fronts[0].at(d.ports.front))
	if err != nil {
		return cantRun, err
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, head+"\r\n"+body)
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
