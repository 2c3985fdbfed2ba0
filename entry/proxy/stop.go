package proxy

import (
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// StopBy makes the proxy refuse, from now on, each request that may not end before a time, at which the
// platform ends the process.
func (p *Proxy) StopBy(end time.Time) { p.stopBy.Store(&end) }

// refuseAtStop returns the refusal of a request with a deadline that ends after the grace period of
// a planned stop, or nil. The request would be cut without a response, and might have run.
func (p *Proxy) refuseAtStop(deadline time.Time, peer string) error {
	end := p.stopBy.Load()
	if end == nil || !deadline.Add(replyGrace).After(*end) {
		return nil
	}
	return contract.NewRefusal(outcome.NotRun, outcome.ReasonStopping, outcome.StepParse, peer, nil)
}
