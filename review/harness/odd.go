package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/platform"
)

// playOdd sends requests that no sound requester of the pages sends: paths with characters that a URI
// may not hold as they are, and OPTIONS with the target "*". It is no case, since no page names them.
func playOdd(d *deployment, trouble bool) (int, error) {
	if err := startSmall(d, []string{"zone-a", "zone-a"}, 2); err != nil {
		return cantRun, err
	}
	paths := []string{"/visits/a%2fb", "/visits/a;b=c", "/visits/%e4?a=%zz"}
	if trouble {
		paths = []string{"/visits/a|b", "/visits/{17}", "/visits/\xc3\xb5", "/visits/%41%2f{}"}
	}
	verdict := held
	for _, path := range paths {
		id := newID()
		status, sealed, err := d.sendOdd(rowRequest("GET", path, id, 2*time.Second, ""))
		if err != nil {
			return cantRun, err
		}
		d.record.note("GET %q is answered %d (seal: %v)", path, status, sealed)
		runs := d.book.all()
		i := slices.IndexFunc(runs, func(one run) bool { return one.id == id })
		if i >= 0 && runs[i].target != path {
			verdict = broken
			d.record.note("UNASKED: GET %q runs as %q", path, runs[i].target)
		}
	}
	if !trouble {
		return verdict, nil
	}
	status, sealed, err := d.sendOdd(rowRequest("OPTIONS", "*", newID(), 2*time.Second, ""))
	if err != nil {
		return cantRun, err
	}
	d.record.note("OPTIONS * is answered %d (seal: %v)", status, sealed)
	if status == http.StatusOK && !sealed {
		verdict = broken
		d.record.note("MIXED: a success without an upstream's seal")
	}
	return verdict, nil
}

// sendOdd sends the bytes of one request to the first machine.
func (d *deployment) sendOdd(text string) (status int, sealed bool, err error) {
	conn, err := net.Dial("tcp", d.fronts[0].at(d.ports.front))
	if err != nil {
		return 0, false, fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false, err
	}
	return response.StatusCode, isSealed(response), nil
}

func isSealed(response *http.Response) bool { return platform.Headers{}.ReadResponse(response).Signed }
