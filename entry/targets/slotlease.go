package targets

import (
	"net/http"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
)

// slotLease is one slot of one target, leased to one attempt. It implements
// contract.Grant.
type slotLease struct {
	manager  *Manager
	service  *service
	target   document.Target
	pool     *targetconn.Pool
	customer string
	attempt  uint64
	exchange *targetconn.Exchange
	trial    bool
}

// Target returns the target of the slot.
func (l *slotLease) Target() document.Target { return l.target }

// RoundTrip sends the request once over a connection of the target's pool. Its
// error is a *contract.RoundTripError.
func (l *slotLease) RoundTrip(request *http.Request) (*http.Response, error) {
	if l.trial {
		request.Header.Set(contract.TrialHeader, "1")
	}
	exchange, response, err := targetconn.Send(l.pool, l.target.Name, request)
	if err != nil {
		return nil, err
	}
	l.exchange = exchange
	return response, nil
}

// Done ends the attempt. The connection is reused only if the response was read
// to its end and the attempt succeeded or was shed.
func (l *slotLease) Done(result contract.AttemptResult) {
	if l.exchange != nil {
		trusted := result.Kind == contract.AttemptSucceeded || result.Kind == contract.AttemptShed
		l.exchange.Finish(trusted)
	}
	if result.Kind == contract.AttemptDraining {
		l.manager.recordLeaving(l.service, l.target.Name)
	}
	l.service.recordResult(time.Now(), l.target.Name, l.attempt, result)
	l.manager.publishHealth(l.service)
	l.service.metrics.recordAttempt(result)
	l.manager.finishRequest(l.customer)
}
