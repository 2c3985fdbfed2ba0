package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	host         = "booking.example"
	statusServed = http.StatusOK
	// statusNoRoute tells that no route matches.
	statusNoRoute = http.StatusNotFound
	// routeTimeout is the time of all routes.
	routeTimeout = 1200 * time.Millisecond
	// callerPatience is how long a caller waits; longer than the routes allow.
	callerPatience = 3 * time.Second
	// callerPause is the pause between two requests of a caller.
	callerPause = 80 * time.Millisecond
	uploadBytes = 200_000
	// shortestKept and longestKept bound how long a caller keeps a directory
	// answer: some keep it for several times what they are told.
	shortestKept, longestKept = time.Second, 9 * time.Second
)

// promisesNotRun reports whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// caller sends one request after the other, to a daemon that the directory names.
// It goes on using its open connections until their daemon is gone.
type caller struct {
	name   string
	fleet  *fleet
	judge  *judge
	random *rand.Rand
	client *http.Client
	// newest returns the newest version published.
	newest func() uint64

	vms []int
	// until is when the directory is asked again.
	until time.Time
	sent  int
}

func newCaller(name string, seed uint64, fleet *fleet, judge *judge, newest func() uint64) *caller {
	return &caller{
		name: name, fleet: fleet, judge: judge, newest: newest, random: rand.New(rand.NewPCG(seed, 7)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Now().After(c.until) || len(c.vms) == 0 {
			c.ask(ctx)
		}
		if len(c.vms) > 0 {
			c.send(ctx, c.vms[c.random.IntN(len(c.vms))])
		}
		time.Sleep(callerPause)
	}
}

// ask asks a random daemon which daemons to use, and keeps the last answer when
// it gives none.
func (c *caller) ask(ctx context.Context) {
	const patience = time.Second
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	vm := c.fleet.vms[c.random.IntN(len(c.fleet.vms))]
	url := "http://" + vm.set.Listen.Directory + platform.DirectoryPages{}.DirectoryPath() + "?name=" + host + "&region=local&zone=" + vm.set.Zone
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return // the address comes from the soak itself
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the daemon is disturbed; another is asked next time
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return // no answer while no daemon is ready
	}
	c.vms = c.fleet.named(answer.Addresses)
	c.until = time.Now().Add(shortestKept + time.Duration(c.random.Int64N(int64(longestKept-shortestKept))))
}

// send sends one request and tells the judge how it ended.
func (c *caller) send(ctx context.Context, vm int) {
	c.sent++
	a := attempt{id: c.name + "-" + strconv.Itoa(c.sent), vm: vm, version: c.newest(), timeout: routeTimeout, once: c.random.IntN(3) > 0}
	if a.version > 1 && c.random.IntN(4) == 0 {
		a.version-- // a route that is gone shows which version is in force
	}
	method, prefix, body := http.MethodGet, "look", []byte(nil)
	if a.once {
		method, prefix, body = http.MethodPost, "book", []byte("slot")
		if c.random.IntN(5) == 0 {
			body = make([]byte, uploadBytes)
		}
	}
	url := fmt.Sprintf("http://%s/%s%d/x", c.fleet.vms[vm].callers.listener.Addr(), prefix, a.version)
	patient, cancel := context.WithTimeout(ctx, callerPatience)
	defer cancel()
	request, err := http.NewRequestWithContext(patient, method, url, bytes.NewReader(body))
	if err != nil {
		return // the address comes from the soak itself
	}
	request.Host = host
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: a.id, Remaining: callerPatience})
	a.sent = time.Now()
	a.status, a.broken = c.exchange(request, wholeAnswer(a.id, body))
	a.ended = time.Now()
	if ctx.Err() == nil { // the end of the load breaks requests off
		c.judge.ended(a)
	}
}

// exchange sends a request and reads its answer.
func (c *caller) exchange(request *http.Request, want string) (status int, broken bool) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false // an answer that breaks off does not look whole
	}
	if response.StatusCode != statusServed {
		return response.StatusCode, false
	}
	return statusServed, string(body) != want
}
