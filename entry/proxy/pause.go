package proxy

import (
	"net/http"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/uptime"
	"github.com/primroseloom/primroseloom/policy/dispatch"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// pauseWatch guards the pause detector. It is silent until it is started.
type pauseWatch struct {
	mu       sync.Mutex
	clock    uptime.Clock
	detector dispatch.PauseDetector
}

func (w *pauseWatch) start(clock uptime.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock = clock
	w.detector = dispatch.PauseDetector{}
	w.detector.Observe(clock.Uptime())
}

func (w *pauseWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock = nil
}

// spent observes the clock and returns the time that a request read now may
// have waited during a pause of the process.
func (w *pauseWatch) spent() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock == nil {
		return 0
	}
	return w.detector.Observe(w.clock.Uptime())
}

// awake returns what a pause leaves of a request's time, or the refusal.
func (p *Proxy) awake(limit time.Duration) (time.Duration, error) {
	limit -= p.pause.spent()
	if limit > 0 {
		return limit, nil
	}
	refusal := contract.Refuse(outcome.NotRun, outcome.ReasonPaused, outcome.StepParse, "", nil)
	refusal.RetryAfter = dispatch.PauseBacklogTime
	return 0, refusal
}

// unlessKeyed turns "not run" into "may have run" for a keyed request that is
// refused before the records of its key were asked: an earlier copy may have run.
func unlessKeyed(r *http.Request, err error) error {
	refusal := refusalOf(err)
	if r.Header.Get(KeyHeader) == "" || refusal.Step == outcome.StepIdentify {
		return refusal
	}
	if refusal.Reason == outcome.ReasonKeyMalformed {
		return refusal
	}
	refusal.Outcome = outcome.MayHaveRun
	return refusal
}
