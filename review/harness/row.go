package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// rowLength is how many look-ups are sent in a row, rowWork how long each of them takes.
	rowLength, rowWork = 3, 700 * time.Millisecond
	// rowLimit is the time limit of each look-up; it is longer than the whole row takes.
	rowLimit = 4 * time.Second
	// beforeStop is how long the row is sent before the SIGTERM; it is longer than lossSlack,
	// loss_slack_ms of the sites.
	beforeStop, lossSlack = 300 * time.Millisecond, 200 * time.Millisecond
	// stopGrace is grace_s of the sites.
	stopGrace = 6 * time.Second
)

// rowRequest returns the bytes of one request.
func rowRequest(method, path, id string, limit time.Duration, body string) string {
	fields := http.Header{"Content-Type": {"text/plain"}}
	platform.Headers{}.WriteRequest(fields, dialect.Request{AttemptID: id, Remaining: limit})
	if body != "" {
		fields.Set("Content-Length", strconv.Itoa(len(body)))
	}
	var text strings.Builder
	_ = fields.Write(&text)
	return method + " " + path + " HTTP/1.1\r\nHost: " + recordsHost + "\r\n" + text.String() + "\r\n" + body
}

// playRow: a machine is stopped as planned while look-ups that were sent in a row on a kept
// connection are in progress. The connection has carried a booking before.
func playRow(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a", "zone-a", "zone-a"}, 4); err != nil {
		return cantRun, err
	}
	for _, u := range d.upstreams {
		u.work = rowWork
	}
	verdict := held
	for _, f := range d.fronts[:2] {
		broke, err := d.rowRound(f, trouble)
		if err != nil {
			return cantRun, err
		}
		verdict = max(verdict, broke)
	}
	for _, one := range d.book.all() {
		d.record.noteAt(one.at, "%s", describe(one))
	}
	return verdict, nil
}

// rowRound plays one row at one machine.
func (d *deployment) rowRound(f *front, trouble bool) (int, error) {
	conn, err := net.Dial("tcp", f.at(d.ports.front))
	if err != nil {
		return cantRun, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	booking := newID()
	d.record.note("request %s POST /bookings/17 is sent to %s", booking, f.name)
	if _, err := io.WriteString(conn, rowRequest("POST", "/bookings/17", booking, rowLimit, "a booking")); err != nil {
		return cantRun, err
	}
	status, err := readAnswer(reader)
	if err != nil || status != http.StatusOK {
		return cantRun, fmt.Errorf("the booking is answered %d: %w", status, err)
	}
	d.record.note("request %s is answered %d", booking, status)
	ids, row := make([]string, rowLength), ""
	for i := range ids {
		ids[i] = newID()
		row += rowRequest("GET", "/visits/"+strconv.Itoa(i), ids[i], rowLimit, "")
	}
	if _, err := io.WriteString(conn, row); err != nil {
		return cantRun, err
	}
	sentAt := time.Now()
	d.record.note("requests %v GET /visits/ are sent to %s in a row on the same connection", ids, f.name)
	time.Sleep(beforeStop)
	if trouble {
		f.signal(syscall.SIGTERM)
	}
	_ = conn.SetReadDeadline(time.Now().Add(stopGrace))
	for i, id := range ids {
		status, err := readAnswer(reader)
		if err != nil {
			return d.judgeRow(ids[i:], err, time.Since(sentAt)), nil
		}
		d.record.note("request %s is answered %d", id, status)
	}
	return held, nil
}

// readAnswer reads one whole answer.
func readAnswer(reader *bufio.Reader) (status int, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// judgeRow judges the requests of a row that got no answer until the connection ended. A process that
// closes a connection from which it has not read everything resets it; if the connection ends
// without a reset, the process has read the whole row.
func (d *deployment) judgeRow(ids []string, cause error, after time.Duration) int {
	var timeout net.Error
	isRead := !errors.Is(cause, syscall.ECONNRESET) && !(errors.As(cause, &timeout) && timeout.Timeout())
	d.record.note("requests %v get no answer: the connection ends %v after they were sent: %v", ids, after, cause)
	if !isRead || after <= lossSlack {
		return held
	}
	d.record.note("LOST: the process had read %d requests, and their connection ended without answers", len(ids))
	return broken
}
