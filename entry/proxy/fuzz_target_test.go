package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// mode is how a target of the fuzz behaves.
type mode int

const (
	modeWell mode = iota
	modeSlow
	modeLate
	modeHung
	modeWrong
	modeTruncating
	modeResetting
	modeShedding
	modeSwapping
	modeDoubling
	modeFlapping
	modeCount
)

const (
	poisonPath = "/poison"
	longPath   = "/long"
	askHeader  = "X-Ask"
	downTime   = 2 * time.Second
	longBytes  = 300_000
)

// fuzzTarget is a raw HTTP/1.1 target with faults; it reports runs to the oracle.
type fuzzTarget struct {
	world *world
	index int

	mu       sync.Mutex
	mode     mode
	listener net.Listener
	conns    map[net.Conn]bool
	// earlier is the last answer, for a target that answers out of order.
	earlier string
	served  int
}

func (t *fuzzTarget) address() string { return targetIP(t.index) + ":80" }

// up starts to listen unless the fleet is closed.
func (t *fuzzTarget) up() {
	listener, err := t.world.fleet.network.Host(targetIP(t.index)).Listen(t.world.fleet.ctx, t.address())
	if err != nil {
		return
	}
	t.mu.Lock()
	t.listener, t.conns = listener, make(map[net.Conn]bool)
	t.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[conn] = true
			t.mu.Unlock()
			go t.serve(conn)
		}
	}()
}

// down ends the process; it comes back after downTime when restart is true.
func (t *fuzzTarget) down(restart bool) {
	t.mu.Lock()
	if t.listener == nil {
		t.mu.Unlock()
		return
	}
	_ = t.listener.Close()
	t.listener = nil
	t.mu.Unlock()
	t.world.fleet.network.Kill(targetIP(t.index))
	if restart {
		time.AfterFunc(downTime, func() {
			if t.world.fleet.ctx.Err() == nil {
				t.up()
			}
		})
	}
}

func (t *fuzzTarget) set(m mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// next returns the mode for one request.
func (t *fuzzTarget) next() mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if t.mode == modeFlapping {
		return []mode{modeWell, modeResetting, modeWrong}[t.served%3]
	}
	return t.mode
}

func (t *fuzzTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		text, last := t.answer(conn, request, string(body))
		if _, err := io.WriteString(conn, text); err != nil || last {
			return
		}
	}
}

// answer runs a request as the mode says; last closes the connection.
func (t *fuzzTarget) answer(conn net.Conn, request *http.Request, id string) (text string, last bool) {
	m := t.next()
	correlation := request.Header.Get(CorrelationHeader)
	if m == modeShedding {
		return head(503, correlation) + "Primroseloom-Shed: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	t.world.oracle.ran(request, id, conn.RemoteAddr())
	if request.URL.Path == poisonPath {
		t.world.oracle.crashed(id, t.index, conn.RemoteAddr())
		t.down(true)
		return "", true
	}
	content := expected(request.URL.Path, id)
	good := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head(200, correlation), len(content), content)
	switch m {
	case modeSlow:
		time.Sleep(300 * time.Millisecond)
	case modeLate:
		time.Sleep(5 * time.Second)
	case modeHung:
		time.Sleep(time.Minute)
		return "", true
	case modeWrong:
		return head(200, "other") + "Content-Length: 5\r\n\r\nwrong", false
	case modeTruncating:
		return good[:len(good)-1], true
	case modeResetting:
		return "", true
	case modeSwapping:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.earlier, good = good, t.earlier
	case modeDoubling:
		return good + good, false
	}
	return good, good == ""
}

func head(status int, correlation string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nPrimroseloom-Correlation: %s\r\n", status, correlation)
}

// expected is the right answer to a request.
func expected(path, id string) string {
	if path == longPath {
		return "answer to " + id + strings.Repeat("-", longBytes)
	}
	return "answer to " + id
}
