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

// pauseMonitor makes the pause detector safe for concurrent use. It reports no
// pause while it is not started.
type pauseMonitor struct {
	mu       sync.Mutex
	clock    uptime.Clock
	detector dispatch.PauseDetector
}

func (w *pauseMonitor) start(clock uptime.Clock) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock = clock
	w.detector = dispatch.PauseDetector{}
	w.detector.Observe(clock.Uptime())
}

func (w *pauseMonitor) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock = nil
}

// observe reads the clock and returns the time that a request read now may have
// waited during a pause of the process.
func (w *pauseMonitor) observe() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock == nil {
		return 0
	}
	return w.detector.Observe(w.clock.Uptime())
}

// subtractPause returns a request's timeout less the time that it may have
// waited during a pause, or a refusal when none is left.
func (p *Proxy) subtractPause(timeout time.Duration) (time.Duration, error) {
	timeout -= p.pauses.observe()
	if timeout > 0 {
		return timeout, nil
	}
	refusal := contract.NewRefusal(outcome.NotRun, outcome.ReasonPaused, outcome.StepParse, "", nil)
	refusal.RetryAfter = dispatch.PauseBacklogTime
	return 0, refusal
}

// uncertainIfKeyed turns "not run" into "may have run" for a keyed request that
// is refused before its key was looked up in the records: an earlier copy may
// have run.
func uncertainIfKeyed(r *http.Request, err error) error {
	refusal := asRefusal(err)
	if r.Header.Get(KeyHeader) == "" || refusal.Step == outcome.StepIdentify {
		return refusal
	}
	if refusal.Reason == outcome.ReasonKeyMalformed {
		return refusal
	}
	refusal.Outcome = outcome.MayHaveRun
	return refusal
}
