package targets

import (
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
)

// grant is a slot of one target, held for one attempt.
type grant struct {
	manager  *Manager
	service  *service
	target   document.Target
	pool     *targetconn.Pool
	customer string
	attempt  uint64
	exchange *targetconn.Exchange
	trial    bool
}

// Target returns the target chosen.
func (g *grant) Target() document.Target { return g.target }

// RoundTrip sends the request once over a connection of the target's pool. Its
// error is a *contract.RoundTripError.
func (g *grant) RoundTrip(request *http.Request) (*http.Response, error) {
	if g.trial {
		request.Header.Set(contract.TrialHeader, "1")
	}
	x, response, err := targetconn.Send(g.pool, g.target.Name, request)
	if err != nil {
		return nil, err
	}
	g.exchange = x
	return response, nil
}

// Done ends the attempt. A connection is used again only after an answer that
// was read to its end and was in turn.
func (g *grant) Done(result contract.AttemptResult) {
	if g.exchange != nil {
		trusted := result.Kind == contract.AttemptSucceeded || result.Kind == contract.AttemptShed
		g.exchange.Finish(trusted)
	}
	if result.Kind == contract.AttemptDraining {
		g.manager.leaves(g.service, g.target.Name)
	}
	g.service.observed(time.Now(), g.target.Name, g.attempt, result)
	g.manager.tell(g.service)
	g.service.metrics.ended(result)
	g.manager.finish(g.customer)
}
