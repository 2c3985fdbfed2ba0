// Package targets admits requests and holds the connections to the targets.
package targets

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Manager implements contract.Targets by taking the targets in turn.
type Manager struct {
	configuration contract.Configuration
	transport     *http.Transport
	next          atomic.Uint64
}

// New returns a manager that connects over a network.
func New(configuration contract.Configuration, network contract.Network) *Manager {
	transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Manager{configuration: configuration, transport: transport}
}

// Acquire returns the next target that is not excluded.
func (m *Manager) Acquire(_ context.Context, request contract.AcquireRequest) (contract.Grant, error) {
	service, ok := m.configuration.Current().Service(request.Service)
	if !ok || len(service.Targets) == 0 {
		return nil, contract.Refuse(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, request.Service, nil)
	}
	for range service.Targets {
		target := service.Targets[m.next.Add(1)%uint64(len(service.Targets))]
		if target.Leaving || slices.Contains(request.Exclude, target.Name) {
			continue
		}
		return &grant{target: target, transport: m.transport}, nil
	}
	return nil, contract.Refuse(outcome.NotRun, outcome.ReasonNoTarget, outcome.StepChoose, request.Service, nil)
}

type grant struct {
	target    document.Target
	transport *http.Transport
}

// Target returns the target chosen.
func (g *grant) Target() document.Target { return g.target }

// RoundTrip sends the request over a connection of its own.
func (g *grant) RoundTrip(request *http.Request) (*http.Response, error) {
	return g.transport.RoundTrip(request)
}

// Done ends the attempt.
func (g *grant) Done(contract.AttemptResult) {}
