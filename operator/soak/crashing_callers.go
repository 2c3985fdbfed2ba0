package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
)

const (
	// minCrashPause and maxCrashPause bound the pause between two sends of a request
	// that crashes targets.
	minCrashPause, maxCrashPause = 300 * time.Millisecond, 1500 * time.Millisecond
	// minSoundPause and maxSoundPause bound the pause between two sends of a sound request
	// beside one that crashes targets. They are long, so that the sound request can't count
	// on the fleet's memory of its latest response.
	minSoundPause, maxSoundPause = 5500 * time.Millisecond, 8 * time.Second
	// soundQuery is the query of sound requests on the path of a request that crashes
	// targets.
	soundQuery = "sound=1"
	// crashingAddresses is the number of source addresses of a request that comes from
	// another address each time.
	crashingAddresses = 60
)

// crashingForm is what changes from one send of a request that crashes targets to the next.
type crashingForm int

// The forms.
const (
	formSame crashingForm = iota
	formQuery
	formAddress
	formQueryAndAddress
	formSpelling
	formCount
)

// formOf returns the form of a request that crashes targets.
func (s *soak) formOf(index int) crashingForm {
	if !s.options.VaryCrashing {
		return formSame
	}
	return crashingForm(index % int(formCount))
}

// crashingPath returns the path of a request that crashes targets.
func crashingPath(index int) string {
	prefixes := []string{crashPrefix, crashOncePrefix}
	return prefixes[index%len(prefixes)] + strconv.Itoa(index)
}

// crashingCaller sends one request that crashes its targets again and again,
// through any of the daemons.
type crashingCaller struct {
	path    string
	form    crashingForm
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	// addresses returns the n-th source address.
	addresses func(n int) net.Addr
}

func (s *soak) newCrashingCaller(index int) *crashingCaller {
	return &crashingCaller{
		path: crashingPath(index), form: s.formOf(index), fleet: s.fleet, checker: s.checker,
		random: rand.New(rand.NewPCG(s.options.Seed, crashStream+1+uint64(index))), addresses: s.callerAddress,
	}
}

// callerAddress returns the n-th source address of callers that connect to daemons past
// the callers' links.
func (s *soak) callerAddress(n int) net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(addressIP(s.options.AddressBase, kindCaller, n))}
}

// run sends the request until the context ends; it does not wait for the response
// before it sends the request again.
func (c *crashingCaller) run(ctx context.Context) {
	var sends sync.WaitGroup
	defer sends.Wait()
	for sent := 0; ; sent++ {
		pause := minCrashPause + time.Duration(c.random.Int64N(int64(maxCrashPause-minCrashPause)))
		if !sleep(ctx, pause) {
			return
		}
		vm, id := c.random.IntN(len(c.fleet.vms)), c.path+"-"+strconv.Itoa(sent)
		sends.Go(func() { c.send(ctx, vm, id, sent) })
	}
}

// send sends the request once over a connection of its own.
func (c *crashingCaller) send(ctx context.Context, vm int, id string, sent int) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := newCrashingRequest(ctx, c.fleet.vms[vm].callersLink.address(), c.path, id)
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	client := http.DefaultClient
	if c.form == formQuery || c.form == formQueryAndAddress {
		request.URL.RawQuery = "n=" + strconv.Itoa(sent)
	}
	if c.form == formAddress || c.form == formQueryAndAddress {
		request.URL.Host = c.fleet.vms[vm].settings.Listen.Callers
		client = clientFrom(c.addresses(sent % crashingAddresses))
	}
	if c.form == formSpelling && sent%2 == 1 {
		spellOtherwise(request)
	}
	c.checker.recordCrashingRequest(id, vm)
	response, err := client.Do(request)
	if err != nil {
		return // the daemon is disturbed, or gave up on the request by closing the connection
	}
	_ = response.Body.Close()
}

// newCrashingRequest returns a request for a path that crashes targets, with a short body
// if it must not run twice.
func newCrashingRequest(ctx context.Context, address, path, id string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if strings.HasPrefix(path, crashOncePrefix) {
		method, body = http.MethodPost, strings.NewReader("slot")
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s%s", address, path), body)
	if err != nil {
		return nil, err
	}
	request.Host, request.Close = host, true
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: id, Remaining: callerTimeout})
	return request, nil
}

// spellOtherwise escapes a character of the path that needs no escape, writes the host in
// capitals and sends a body in chunks.
func spellOtherwise(request *http.Request) {
	request.URL.RawPath = strings.Replace(request.URL.Path, "crash", "cr%61sh", 1)
	request.Host = strings.ToUpper(request.Host)
	request.ContentLength = -1
}

// clientFrom returns a client that sends each request over a connection of its own from
// an address.
func clientFrom(source net.Addr) *http.Client {
	dialer := net.Dialer{LocalAddr: source}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}}
}

// soundCaller sends, now and then, a sound request on the path of a request that crashes
// targets, from an address and with a query of its own.
type soundCaller struct {
	path    string
	fleet   *fleet
	checker *checker
	random  *rand.Rand
	client  *http.Client
}

// newSoundCaller returns the caller beside a request that crashes targets; ok is false
// when nothing but its soundness tells the sound request from that one.
func (s *soak) newSoundCaller(index int) (c *soundCaller, ok bool) {
	if !s.options.VaryCrashing || s.formOf(index) == formQueryAndAddress {
		return nil, false
	}
	return &soundCaller{
		path: crashingPath(index), fleet: s.fleet, checker: s.checker,
		random: rand.New(rand.NewPCG(s.options.Seed, soundStream+uint64(index))), client: clientFrom(s.callerAddress(crashingAddresses + index)),
	}, true
}

// run sends the request until the context ends.
func (c *soundCaller) run(ctx context.Context) {
	for sent := 0; ; sent++ {
		pause := minSoundPause + time.Duration(c.random.Int64N(int64(maxSoundPause-minSoundPause)))
		if !sleep(ctx, pause) {
			return
		}
		c.send(ctx, c.random.IntN(len(c.fleet.vms)), "sound"+c.path+"-"+strconv.Itoa(sent))
	}
}

// send sends the request once and records a refusal.
func (c *soundCaller) send(ctx context.Context, vm int, id string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	request, err := newCrashingRequest(ctx, c.fleet.vms[vm].settings.Listen.Callers, c.path, id)
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	request.URL.RawQuery = soundQuery
	response, err := c.client.Do(request)
	if err != nil {
		return // the daemon is disturbed; other promises are about that
	}
	_ = response.Body.Close()
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode == http.StatusServiceUnavailable && err == nil {
		c.checker.recordSoundRefusal(soundRefusal{path: c.path, vm: vm, at: time.Now(), retryAfter: time.Duration(seconds * float64(time.Second))})
	}
}
