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

// mode is how a target of the fuzz test behaves.
type mode int

const (
	modeHealthy mode = iota
	// modeSlow responds 300 ms late.
	modeSlow
	// modeLate responds 5 s late.
	modeLate
	// modeHung runs the request, but closes the connection after a minute without
	// a response.
	modeHung
	// modeWrong sends the correlation of another request.
	modeWrong
	// modeTruncating omits the last byte of the response.
	modeTruncating
	// modeResetting runs the request and closes the connection without a response.
	modeResetting
	// modeShedding sheds the request without running it.
	modeShedding
	// modeSwapping sends the response to the previous request; if there was none, it
	// closes the connection.
	modeSwapping
	// modeDoubling sends the response twice.
	modeDoubling
	// modeFlapping is healthy, resetting and wrong in turn.
	modeFlapping
	// modeCount is the number of modes.
	modeCount
)

const (
	poisonPath         = "/poison"
	longPath           = "/long"
	requestIndexHeader = "X-Ask"
	restartDelay       = 2 * time.Second
	longBytes          = 300_000
)

// fuzzTarget is an HTTP/1.1 target that simulates faults; it reports its runs to
// the oracle.
type fuzzTarget struct {
	world *world
	index int

	mu       sync.Mutex
	mode     mode
	listener net.Listener
	conns    map[net.Conn]bool
	// previousResponse is the response to the previous request, which a target
	// in modeSwapping sends in place of the right one.
	previousResponse string
	served           int
}

func (t *fuzzTarget) address() string { return targetIP(t.index) + ":80" }

// listen starts the target unless the fleet is closed.
func (t *fuzzTarget) listen() {
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

// stop kills the target's process; it starts again after restartDelay when
// restart is true.
func (t *fuzzTarget) stop(restart bool) {
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
		time.AfterFunc(restartDelay, func() {
			if t.world.fleet.ctx.Err() == nil {
				t.listen()
			}
		})
	}
}

func (t *fuzzTarget) setMode(m mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// nextMode returns the mode for the next request.
func (t *fuzzTarget) nextMode() mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if t.mode == modeFlapping {
		return []mode{modeHealthy, modeResetting, modeWrong}[t.served%3]
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
		text, closeAfter := t.respond(conn, request, string(body))
		if _, err := io.WriteString(conn, text); err != nil || closeAfter {
			return
		}
	}
}

// respond runs a request and returns the response's bytes according to the mode;
// closeAfter closes the connection.
func (t *fuzzTarget) respond(conn net.Conn, request *http.Request, id string) (text string, closeAfter bool) {
	m := t.nextMode()
	correlation := request.Header.Get(CorrelationHeader)
	if m == modeShedding {
		return responseHead(503, correlation) + "Primroseloom-Shed: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	t.world.oracle.recordRun(request, id, conn.RemoteAddr())
	if request.URL.Path == poisonPath {
		t.world.oracle.recordCrash(id, t.index, conn.RemoteAddr())
		t.stop(true)
		return "", true
	}
	content := expectedBody(request.URL.Path, id)
	response := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", responseHead(200, correlation), len(content), content)
	switch m {
	case modeSlow:
		time.Sleep(300 * time.Millisecond)
	case modeLate:
		time.Sleep(5 * time.Second)
	case modeHung:
		time.Sleep(time.Minute)
		return "", true
	case modeWrong:
		return responseHead(200, "other") + "Content-Length: 5\r\n\r\nwrong", false
	case modeTruncating:
		return response[:len(response)-1], true
	case modeResetting:
		return "", true
	case modeSwapping:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.previousResponse, response = response, t.previousResponse
	case modeDoubling:
		return response + response, false
	}
	return response, response == ""
}

func responseHead(status int, correlation string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nPrimroseloom-Correlation: %s\r\n", status, correlation)
}

// expectedBody returns the body of the right response to a request.
func expectedBody(path, id string) string {
	if path == longPath {
		return "answer to " + id + strings.Repeat("-", longBytes)
	}
	return "answer to " + id
}
