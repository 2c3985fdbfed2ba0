package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// exchange sends text on a connection of its own, all of it before it reads, and returns the statuses of
// the given number of responses, those of the interim ones left out.
func exchange(t *testing.T, d endpoint, text string, responses int) (statuses []int, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", d.address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	for len(statuses) < responses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return statuses, err
		}
		if response.StatusCode >= http.StatusOK {
			statuses = append(statuses, response.StatusCode)
		}
	}
	return statuses, nil
}

// checkExchange fails the test unless the responses have the wanted statuses.
func checkExchange(t *testing.T, name string, d endpoint, text string, want ...int) {
	t.Helper()
	got, err := exchange(t, d, text, len(want))
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("%s at %s: statuses %v, %v, want %v", name, d.name, got, err, want)
	}
}

// TestSingleRequestWithinTheLimitsIsServed guards against limits that a caller within those of the routes
// meets while the VM has nothing else to do.
func TestSingleRequestWithinTheLimitsIsServed(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	for _, p := range []program{frontProgram, serveProgram} {
		t.Run(p.name, func(t *testing.T) {
			vm := p.start(t)
			d := vm.endpoint("route that must not run twice")
			length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
			checkExchange(t, "many short fields", d, d.head(http.MethodGet, "1")+fieldsOf(crowdHeaderBytes-600)+"\r\n", d.status)
			checkExchange(t, "a large field", d, d.head(http.MethodGet, "1")+"Field: "+body[:crowdHeaderBytes-600]+"\r\n\r\n", d.status)
			checkExchange(t, "a large body", d, d.head(http.MethodPost, "1")+length+"\r\n"+body, d.status)
			checkExchange(t, "a body after Expect", d, d.head(http.MethodPost, "1")+"Expect: 100-continue\r\n"+length+"\r\n"+body, d.status)
			chunked := d.head(http.MethodPost, "1") + "Transfer-Encoding: chunked\r\n\r\n"
			checkExchange(t, "small chunks", d, chunked+strings.Repeat("1\r\nx\r\n", 20_000)+"0\r\nTrailer: 1\r\n\r\n", d.status)
			checkExchange(t, "chunks with extensions", d, chunked+strings.Repeat("400;name=value\r\n"+body[:1<<10]+"\r\n", 1000)+"0\r\n\r\n", d.status)
			ahead := strings.Repeat(d.head(http.MethodGet, "1")+"\r\n", 20)
			checkExchange(t, "requests in a row", d, ahead, slices.Repeat([]int{d.status}, 20)...)
		})
	}
}

// TestRefusalReachesItsCaller guards against refusals that are lost, since the connection is reset while
// the caller still sends.
func TestRefusalReachesItsCaller(t *testing.T) {
	body := strings.Repeat("x", crowdBodyBytes)
	for _, p := range []program{frontProgram, serveProgram} {
		t.Run(p.name, func(t *testing.T) {
			vm := p.start(t)
			length := "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
			chunks := "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+body[:64<<10]+"\r\n", 16)
			for _, name := range p.endpoints {
				d, status := vm.endpoint(name), 0
				switch name {
				case "route", "route that must not run twice", "directory", "readiness", "admin":
					continue
				default:
					status = d.status
				}
				checkExchange(t, "a large body", d, d.head(http.MethodPost, "1")+length+body, status)
				checkExchange(t, "chunks", d, d.head(http.MethodPost, "1")+chunks+"0\r\n\r\n", status)
				small := d.head(http.MethodPost, "1") + "Content-Length: 1000\r\n\r\n" + body[:1000]
				checkExchange(t, "small bodies in a row", d, small+small+small, status, status, status)
			}
			d := vm.endpoint("route that must not run twice")
			tooLarge := http.StatusRequestEntityTooLarge
			checkExchange(t, "a body over the limit", d, d.head(http.MethodPost, "1")+"Content-Length: 1500000\r\n\r\n"+body, tooLarge)
			checkExchange(t, "chunks over the limit", d, d.head(http.MethodPost, "1")+chunks+"10000\r\n"+body[:64<<10]+"\r\n0\r\n\r\n", tooLarge)
			checkExchange(t, "a head over the limit", d, d.head(http.MethodPost, "1")+"Field: "+body[:200<<10]+"\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge)
		})
	}
}
