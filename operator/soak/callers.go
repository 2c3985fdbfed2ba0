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
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	host         = "booking.example"
	statusServed = http.StatusOK
	// statusNoRoute is the status of a response when no route matches.
	statusNoRoute = http.StatusNotFound
	// statusNoKey is the status of a response to a request without a valid key.
	statusNoKey = http.StatusUnauthorized
	// routeTimeout is the timeout of all routes but those of long requests (reserveTimeout).
	routeTimeout = 1200 * time.Millisecond
	// callerTimeout is how long a caller waits for a response; longer than routeTimeout.
	callerTimeout = 3 * time.Second
	// callerPause is the pause between two requests of a caller.
	callerPause = 80 * time.Millisecond
	uploadBytes = 200_000
	// minDirectoryUse and maxDirectoryUse bound how long a caller uses a directory
	// response: some use it for several times the advertised lifetime.
	minDirectoryUse, maxDirectoryUse = time.Second, 9 * time.Second
)

// promisesNotRun reports whether a status promises that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// caller sends one request after another to daemons that the directory returned.
// It reuses its open connections until their daemon is gone.
type caller struct {
	name    string
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	client  *http.Client
	// newestVersion returns the newest published version of the routes.
	newestVersion func() uint64

	vms []int
	// directoryExpiry is when the directory is queried again.
	directoryExpiry time.Time
	sent            int
}

func newCaller(name string, seed uint64, fleet *fleet, checker *checker, newestVersion func() uint64) *caller {
	return &caller{
		name: name, fleet: fleet, checker: checker, newestVersion: newestVersion, random: rand.New(rand.NewPCG(seed, 7)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Now().After(c.directoryExpiry) || len(c.vms) == 0 {
			c.queryDirectory(ctx)
		}
		if len(c.vms) > 0 {
			c.send(ctx, c.vms[c.random.IntN(len(c.vms))])
		}
		time.Sleep(callerPause)
	}
}

// queryDirectory queries the directory of a random daemon for the daemons to use. If
// that fails, the caller goes on with those of the previous response.
func (c *caller) queryDirectory(ctx context.Context) {
	const queryTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	vm := c.fleet.vms[c.random.IntN(len(c.fleet.vms))]
	url := "http://" + vm.settings.Listen.Directory + platform.DirectoryPages{}.DirectoryPath() + "?name=" + host + "&region=local&zone=" + vm.settings.Zone
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the daemon is disturbed; the next query draws a daemon again
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct{ Addresses []string }
	if json.NewDecoder(response.Body).Decode(&directory) != nil {
		return // the directory lists nothing while no daemon is ready
	}
	c.vms = c.fleet.vmsAt(directory.Addresses)
	c.directoryExpiry = time.Now().Add(minDirectoryUse + time.Duration(c.random.Int64N(int64(maxDirectoryUse-minDirectoryUse))))
}

// send sends one request and records its result in the checker.
func (c *caller) send(ctx context.Context, vm int) {
	c.sent++
	record := callerRequest{id: c.name + "-" + strconv.Itoa(c.sent), vm: vm, version: c.newestVersion(), timeout: routeTimeout, limit: routeTimeout, atMostOnce: c.random.IntN(3) > 0}
	if record.version > 1 && c.random.IntN(4) == 0 {
		record.version-- // a dropped route shows whether the older version is still in force
	}
	method, prefix, body := http.MethodGet, "look", []byte(nil)
	if record.atMostOnce {
		method, prefix, body = http.MethodPost, "book", []byte("slot")
		if c.random.IntN(5) == 0 {
			body = make([]byte, uploadBytes)
		}
	}
	url := fmt.Sprintf("http://%s/%s%d/x", c.fleet.vms[vm].callersLink.address(), prefix, record.version)
	requestCtx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(requestCtx, method, url, bytes.NewReader(body))
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	request.Host = host
	forbidResending(request)
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: record.id, Remaining: callerTimeout})
	record.startedAt = time.Now()
	record.status, record.wrongResponse = c.exchange(request, expectedBody(record.id, body))
	record.endedAt = time.Now()
	if ctx.Err() == nil { // skip requests that were canceled at the end of the load
		c.checker.recordRequest(record)
	}
}

// forbidResending keeps the client from sending a request again when a reused connection
// ends before a response: that would be another request under the same identifier. The
// client sends only requests again whose body it can read again, or that have none.
func forbidResending(request *http.Request) {
	request.GetBody = nil
	if request.Body == http.NoBody {
		request.Body = io.NopCloser(strings.NewReader(""))
	}
}

// exchange sends a request and reads its response. The status is zero if there is
// no complete response; wrongResponse is true if a served body differs from want.
func (c *caller) exchange(request *http.Request, want string) (status int, wrongResponse bool) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, false // the response was visibly truncated
	}
	if response.StatusCode != statusServed {
		return response.StatusCode, false
	}
	return statusServed, string(body) != want || response.Header.Get(placeHeader) != placeValue
}
