package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/roster"
)

const (
	// crashPrefix and crashOncePrefix are the prefixes of the routes, present in all
	// versions, whose requests crash the target that begins to run them.
	crashPrefix, crashOncePrefix = "/crash/", "/crashonce/"
	// minCrashPause and maxCrashPause bound the pause between two sends of a request
	// that crashes targets.
	minCrashPause, maxCrashPause = 300 * time.Millisecond, 1500 * time.Millisecond
	// crashDowntime is how long a crashed target is down.
	crashDowntime = 2 * time.Second
	// crashStream is the random stream of the kinds of crashes; that of each request
	// that crashes targets follows. The streams of the fault series are below.
	crashStream = 100
)

// crashingCaller sends one request that crashes its targets again and again,
// through any of the daemons.
type crashingCaller struct {
	path    string
	fleet   *fleet
	checker *checker
	random  *rand.Rand
}

func (s *soak) newCrashingCaller(index int) *crashingCaller {
	prefixes := []string{crashPrefix, crashOncePrefix}
	return &crashingCaller{
		path: prefixes[index%len(prefixes)] + strconv.Itoa(index), fleet: s.fleet, checker: s.checker,
		random: rand.New(rand.NewPCG(s.options.Seed, crashStream+1+uint64(index))),
	}
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
		sends.Go(func() { c.send(ctx, vm, id) })
	}
}

// send sends the request once over a connection of its own.
func (c *crashingCaller) send(ctx context.Context, vm int, id string) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	method := http.MethodGet
	if strings.HasPrefix(c.path, crashOncePrefix) {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s%s", c.fleet.vms[vm].callersLink.address(), c.path)
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	request.Host, request.Close = host, true
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: id, Remaining: callerTimeout})
	c.checker.recordCrashingRequest(id, vm)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the daemon is disturbed, or gave up on the request by closing the connection
	}
	_ = response.Body.Close()
}

// crash takes a target down, as a process that ends or, when silent, as a VM that
// loses power, and starts it again after crashDowntime. A crash of a worker ends only the
// connection of the request: another process of the target goes on accepting connections.
func (s *soak) crash(t *target, r *http.Request) {
	s.mu.Lock()
	draw := s.crashRandom.Float64()
	s.mu.Unlock()
	if draw >= 1-s.options.WorkerCrashShare {
		s.countFault("worker crash")
		return
	}
	drawn := draw < s.options.SilentCrashShare
	t.mu.Lock()
	alreadyDown := t.down
	if !alreadyDown {
		t.silent = drawn
	}
	silent := t.silent
	t.down = true
	t.mu.Unlock()
	if !alreadyDown {
		s.countFault("target crash")
		t.link.takeDown(silent)
		time.AfterFunc(crashDowntime, func() { s.restartTarget(t) })
	}
	if silent {
		<-r.Context().Done()
	}
}

// restartTarget brings a crashed target back as a new process: under a new
// identifier, or under its own with a later start time.
func (s *soak) restartTarget(t *target) {
	if s.ctx.Err() != nil || t.link.bringUp(s.ctx) != nil {
		return // the run is over, or the address cannot be bound again: the target stays down
	}
	t.mu.Lock()
	t.down = false
	t.restarts++
	before := t.info.ID
	t.info.StartedAt, t.info.Sequence, t.said = time.Now(), 0, notice.Notice{}
	if t.restarts%2 == 0 {
		t.info.ID += "r"
	}
	t.mu.Unlock()
	info := t.report()
	if info.State != roster.StateReady {
		return // it is leaving; its entry is removed soon
	}
	if info.ID != before {
		s.store.RemoveTarget(before)
	}
	s.store.PublishTarget(info)
}
