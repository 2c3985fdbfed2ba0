package soak

import (
	"context"
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
	// workQuery is the parameter of a request's query that says for how many milliseconds its
	// target works.
	workQuery = "work_ms"
	// minLongWork and maxLongWork bound the work of a long request: many times that of others,
	// and less than routeTimeout. After SIGTERM a daemon still gets responses to other requests,
	// for up to 0.9 s on a busy machine; long requests outlast these.
	minLongWork, maxLongWork = time.Second, 1080 * time.Millisecond
	// One in longOnceOneIn long requests must not run twice.
	longOnceOneIn = 4
	// longCallers is the number of callers that send long requests all the time.
	longCallers = 2
	// minLongAtStop and maxLongAtStop bound the number of long requests that are sent to a
	// daemon at its planned stop. At one stop in noLongAtStopOneIn there are none.
	minLongAtStop, maxLongAtStop = 8, 12
	noLongAtStopOneIn            = 5
	// longAtStopTime is the time over which these requests are sent, longHeadStart the time from
	// its beginning to the daemon's SIGTERM. A daemon still accepts requests for some 100 ms
	// after that.
	longAtStopTime, longHeadStart = 140 * time.Millisecond, 60 * time.Millisecond
	// longStream separates the random numbers of these callers from those of others,
	// longStopStream those of requests before stops.
	longStream, longStopStream = 7000, 7100
)

// workOf returns how long a target works on a request.
func workOf(r *http.Request, fault targetFault) time.Duration {
	work := workTime
	if fault == targetSlow {
		work = slowWorkTime
	}
	if asked, err := strconv.Atoi(r.URL.Query().Get(workQuery)); err == nil {
		work = max(work, time.Duration(asked)*time.Millisecond)
	}
	return work
}

// work waits for the time of a request's work, or until the daemon that sent it closes the
// connection, and records the execution.
func (t *target) work(r *http.Request, asked run, fault targetFault) {
	done := execution{run: asked}
	select {
	case <-time.After(workOf(r, fault)):
	case <-r.Context().Done():
		done.senderLeft = true
	}
	done.endedAt = time.Now()
	done.undisturbed = t.undisturbedFor(StabilityTime + done.endedAt.Sub(asked.at))
	t.checker.recordExecution(done)
}

// undisturbedFor reports whether neither the target nor its link had a fault in the last time
// span.
func (t *target) undisturbedFor(span time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault == targetHealthy && !t.down && t.said.Pause == 0 && time.Since(t.disturbedAt) > span && !t.link.harmedWithin(span)
}

// longCaller sends requests that take long at their targets. A daemon with few short requests has
// only such ones in progress, which it must not take for lost.
type longCaller struct {
	*caller
}

func (s *soak) newLongCaller(name string, stream uint64) longCaller {
	return longCaller{newCaller(name, s.options.Seed+stream, s.fleet, s.checker, s.newestVersion)}
}

// run sends one long request after the other until the context ends.
func (c longCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if time.Now().After(c.directoryExpiry) || len(c.vms) == 0 {
			c.queryDirectory(ctx)
		}
		if len(c.vms) > 0 {
			vm := c.vms[c.random.IntN(len(c.vms))]
			c.sendLong(ctx, vm, c.fleet.vms[vm].callersLink.address())
		}
		time.Sleep(callerPause)
	}
}

// sendLong sends one long request to a daemon at an address and records its result.
func (c longCaller) sendLong(ctx context.Context, vm int, address string) {
	long := workRequest{prefix: "look", method: http.MethodGet, limit: routeTimeout, patience: callerTimeout}
	if c.random.IntN(longOnceOneIn) == 0 {
		long.prefix, long.method, long.body, long.atMostOnce = "book", http.MethodPost, "slot", true
	}
	long.work = drawBetween(c.random, minLongWork, maxLongWork)
	c.sendWork(ctx, vm, address, long)
}

// workRequest is a request that its target works on for a time.
type workRequest struct {
	// prefix is that of its route, without the version.
	prefix, method, body string
	// inChunks sends the body without its length.
	inChunks, atMostOnce bool
	// work is the time at the target, limit the timeout of the route, patience how long the caller
	// waits for the response.
	work, limit, patience time.Duration
}

// reader returns the body. A reader of a type that net/http does not know has no length.
func (w workRequest) reader() io.Reader {
	if w.inChunks {
		return struct{ io.Reader }{strings.NewReader(w.body)}
	}
	return strings.NewReader(w.body)
}

// sendWork sends one request to a daemon at an address and records its result.
func (c longCaller) sendWork(ctx context.Context, vm int, address string, w workRequest) {
	c.sent++
	record := callerRequest{id: c.name + "-" + strconv.Itoa(c.sent), vm: vm, version: c.newestVersion(), timeout: w.limit, limit: w.limit, atMostOnce: w.atMostOnce}
	url := fmt.Sprintf("http://%s/%s%d/x?%s=%d", address, w.prefix, record.version, workQuery, w.work.Milliseconds())
	requestCtx, cancel := context.WithTimeout(ctx, w.patience)
	defer cancel()
	request, err := http.NewRequestWithContext(requestCtx, w.method, url, w.reader())
	if err != nil {
		return // cannot happen: the soak itself chose the address
	}
	request.Host = host
	forbidResending(request)
	platform.Headers{}.WriteRequest(request.Header, dialect.Request{AttemptID: record.id, Remaining: w.patience})
	record.startedAt = time.Now()
	record.status, record.wrongResponse = c.exchange(request, expectedBody(record.id, []byte(w.body)))
	record.endedAt = time.Now()
	if ctx.Err() == nil { // skip requests that were canceled at the end of the load
		c.checker.recordRequest(record)
	}
}

// sendLongAtStop starts callers that send long requests directly to a daemon, without the faults
// of the callers' link, and returns when the daemon is to get its SIGTERM: some of the requests
// arrive before, some after it.
func (s *soak) sendLongAtStop(v *vm) {
	v.mu.Lock()
	name, stream := fmt.Sprintf("stop%d.%d", v.index, v.starts), uint64(longStopStream+100*v.index+v.starts)
	v.mu.Unlock()
	random := rand.New(rand.NewPCG(s.options.Seed, stream))
	if random.IntN(noLongAtStopOneIn) == 0 {
		return
	}
	s.countFault("busy stop")
	count := minLongAtStop + random.IntN(maxLongAtStop-minLongAtStop+1)
	for i := range count {
		c := s.newLongCaller(name+"."+strconv.Itoa(i), stream<<8+uint64(i))
		go func() {
			defer c.client.CloseIdleConnections()
			time.Sleep(longAtStopTime * time.Duration(i) / time.Duration(count))
			c.sendLong(s.ctx, v.index, v.settings.Listen.Callers)
		}()
	}
	time.Sleep(longHeadStart)
}
