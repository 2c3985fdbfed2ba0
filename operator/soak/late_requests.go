package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/entry/settings"
)

const (
	// reserveTimeout is the timeout of the routes whose requests take long: longer than what is left
	// of the grace period once a stopping daemon takes no new connections.
	reserveTimeout = 3 * time.Second
	// reserveCallerTimeout is how long a caller of these routes waits for a response.
	reserveCallerTimeout = 5 * time.Second
	// minLateWork and maxLateWork bound the work of a late request, near the time limit.
	minLateWork, maxLateWork = reserveTimeout * 3 / 4, reserveTimeout - 200*time.Millisecond
	// lateCallers is the number of callers that send one late request each at a planned stop,
	// lateRows the number of rows at other connections: these must not prolong the time in which
	// the late requests are taken.
	lateCallers, lateRows = 14, 4
	// minLateRowWork and maxLateRowWork bound the work of a lookup in such a row.
	minLateRowWork, maxLateRowWork = 300 * time.Millisecond, time.Second
	// directoryUses is the number of its lifetimes for which a caller uses a directory response.
	directoryUses = 3
	// lateStream separates the random numbers of these callers from those of others.
	lateStream = 7200
)

// directoryLifetime is how long callers may keep a directory response.
var directoryLifetime = settings.DefaultFrontend().Directory.KeepFor.Std()

// lateCaller sends one long request to a daemon after its SIGTERM, by a directory response from
// before.
type lateCaller struct {
	longCaller
}

// sendLateAtStop starts callers of a daemon that is about to get its SIGTERM. Half of them keep their
// directory response for directoryUses lifetimes. The others can't renew theirs and send when the
// daemon can hardly finish their requests, or not at all.
func (s *soak) sendLateAtStop(v *vm) {
	v.mu.Lock()
	name, stream := "late"+strconv.Itoa(v.index)+"."+strconv.Itoa(v.starts), uint64(lateStream+100*v.index+v.starts)<<8
	v.mu.Unlock()
	random := rand.New(rand.NewPCG(s.options.Seed, stream))
	for i := range lateCallers {
		c := lateCaller{s.newLongCaller(name+"."+strconv.Itoa(i), stream+uint64(i))}
		wait := drawBetween(random, directoryLifetime, directoryUses*directoryLifetime)
		if i%2 == 0 {
			wait = drawBetween(random, stopGrace-reserveTimeout-directoryLifetime/2, stopGrace)
		}
		go c.run(s.ctx, v, wait)
	}
	for i := range lateRows {
		c := rowCaller{s.newLongCaller(name+".row"+strconv.Itoa(i), stream+uint64(lateCallers+i)).caller}
		wait := drawBetween(random, 0, stopGrace)
		go func() {
			if sleep(s.ctx, wait) {
				c.sendRow(s.ctx, v.index, v.settings.Listen.Callers, drawBetween(c.random, minLateRowWork, maxLateRowWork))
			}
		}()
	}
}

func drawBetween(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Int64N(int64(upper-lower)))
}

// run sends the request after a wait, directly to the daemon: in half of the cases on a connection
// that carried a lookup before the SIGTERM.
func (c lateCaller) run(ctx context.Context, v *vm, wait time.Duration) {
	defer c.client.CloseIdleConnections()
	sendAt := time.Now().Add(wait)
	if c.random.IntN(2) == 0 {
		c.sendWork(ctx, v.index, v.settings.Listen.Callers, workRequest{prefix: "look", method: http.MethodGet, limit: routeTimeout, patience: callerTimeout})
	}
	if sleep(ctx, time.Until(sendAt)) {
		c.sendWork(ctx, v.index, v.settings.Listen.Callers, c.drawLate())
	}
}

// drawLate draws a late request: one that must not run twice or an idempotent one, with a length or
// in chunks.
func (c lateCaller) drawLate() workRequest {
	late := workRequest{
		prefix: "report", method: http.MethodPut, body: "slot",
		work: drawBetween(c.random, minLateWork, maxLateWork), limit: reserveTimeout, patience: reserveCallerTimeout,
	}
	if c.random.IntN(2) == 0 {
		late.prefix, late.method, late.atMostOnce = "reserve", http.MethodPost, true
	}
	late.inChunks = c.random.IntN(2) == 0
	return late
}
