package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// TestDrainRefusesWhatItCannotFinish guards against a request that a stopping VM passes on to a target
// although its time limit ends after the stop's grace period, so that it is cut without an answer: one
// of a caller, and one with a key that another VM forwards. A request that fits is served.
func TestDrainRefusesWhatItCannotFinish(t *testing.T) {
	for name, key := range map[string]bool{"from a caller": false, "forwarded with a key": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, oneTarget(), func(t *testing.T, f *fleet) {
				runs := 0
				startScriptedTargets(t, f, func(*http.Request) string {
					runs++
					time.Sleep(8 * time.Second)
					return completeResponse
				})
				via, extra, refused := 1, []string(nil), "not_run"
				if key {
					// An earlier request with the key may have run.
					via, extra, refused = 0, []string{f.vms[1].keyHeader("k")}, "may_have_run"
				}
				ctx, cancel := context.WithTimeout(f.ctx, 12*time.Second)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- f.vms[1].proxy.Drain(ctx, f.vms[1].servers[0], 5*time.Second) }()
				time.Sleep(time.Second)
				if got := f.send(via, "POST", "/book", "x", append(extra, TimeoutHeader+": 30000")...); got.header.Get(OutcomeHeader) != refused || runs != 0 {
					t.Errorf("a request that can't be finished: %+v, %d runs", got, runs)
				}
				if key {
					extra = []string{f.vms[1].keyHeader("k2")}
				}
				if got := f.send(via, "POST", "/book", "x", append(extra, TimeoutHeader+": 9000")...); got.status != http.StatusOK || runs != 1 {
					t.Errorf("a request that can be finished: %+v, %d runs", got, runs)
				}
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			})
		})
	}
}
