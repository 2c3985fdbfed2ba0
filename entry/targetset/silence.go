package targetset

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/breaker"
)

const (
	// silenceCheckInterval is the minimum time from the start of a check of a service to the next.
	silenceCheckInterval = 500 * time.Millisecond
	// probeTimeout bounds how long a check waits for a response: a busy target may need a while.
	// An inconclusive check opens the breaker only if the losses go on for as long.
	probeTimeout = time.Second
	// recentlyServed is the age of a target's latest response to any VM up to which the target is
	// probed before others.
	recentlyServed = 500 * time.Millisecond
	// maxHealthBytes bounds what is read of a target's response to a probe.
	maxHealthBytes = 64 << 10
)

// silenceCheck is the state of a service's active checks. A response that is late has one of two
// causes: the path from this VM has failed, or the requests take long at the targets. A check
// probes several targets to tell these apart, so that slow requests alone don't open the breaker.
type silenceCheck struct {
	inProgress bool
	// begunAt is the uptime at which the latest check began; zero before the first.
	begunAt time.Duration
}

// probe is one request, or one connection, to a target in a check.
type probe struct {
	pool        *targetconn.Pool
	id, address string
}

// probeResult is the result of a probe, or the best one of a check's probes.
type probeResult int

// The results, the best one last.
const (
	// probeFailed means that no connection opened, or that it ended without a response.
	probeFailed probeResult = iota
	// probeInconclusive means that a connection opened and no response arrived in time, or that
	// the service has no health path to send a request to.
	probeInconclusive
	// probeAnswered means that a response arrived, of any status.
	probeAnswered
)

// String returns the result as it is logged.
func (r probeResult) String() string { return [...]string{"failed", "undecided", "response"}[r] }

// checkSilence starts a check of the service's path unless one is in progress or began less than
// silenceCheckInterval ago. The check opens the breaker if no target can be reached, or if it is
// inconclusive and the losses go on. It returns at once; the lock is held.
func (m *Manager) checkSilence(name string, s *service, now time.Duration) {
	check := &s.silenceCheck
	if check.inProgress || check.begunAt > 0 && now-check.begunAt < silenceCheckInterval {
		return
	}
	probes := m.selectProbes(s, now)
	if len(probes) == 0 {
		return
	}
	check.inProgress, check.begunAt = true, now
	path := m.healthPath(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		result := m.runProbes(ctx, probes, path)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.silenceChecked(name, s, result)
	}()
}

// silenceChecked applies the result of a check; the lock is held.
func (m *Manager) silenceChecked(name string, s *service, result probeResult) {
	now := m.options.Uptime()
	s.silenceCheck.inProgress = false
	m.logSilenceChecked(name, s, result, now)
	if result == probeAnswered {
		if s.breaker.Answered(true, now) {
			m.pathFound(name)
		}
		return
	}
	finding, since := s.finding(now)
	if finding != breaker.NoFinding && (result == probeFailed || now-since >= probeTimeout) {
		m.openByLosses(name, s, now)
	}
}

// healthPath returns the URL path of the health checks of a service's targets; empty when the
// routes name none. The lock is held.
func (m *Manager) healthPath(name string) string {
	if m.table == nil {
		return ""
	}
	definition, _ := m.table.Service(name)
	return definition.HealthPath
}

// selectProbes returns probes of up to maxPathChecks random targets, so that VMs in the same
// situation don't all probe the same ones. Targets that have recently answered any VM come first,
// those that have lost a request of this VM last: their requests may take long. The lock is held.
func (m *Manager) selectProbes(s *service, now time.Duration) []probe {
	var recent, others, late []*target
	for _, i := range m.random.Perm(len(s.targets)) {
		t := s.targets[i]
		switch _, lost := s.breaker.LostAt(t.info.ID, now); {
		case !t.usable() || t.unreachable:
		case lost:
			late = append(late, t)
		case t.lastServedAt > 0 && now-t.lastServedAt < recentlyServed:
			recent = append(recent, t)
		default:
			others = append(others, t)
		}
	}
	var probes []probe
	for _, t := range slices.Concat(recent, others, late) {
		if len(probes) < maxPathChecks {
			probes = append(probes, probe{pool: t.pool, id: t.info.ID, address: t.info.Address})
		}
	}
	return probes
}

// runProbes runs the probes at the same time and returns the best result; it stops at the first
// response. Without a path it only opens connections, so that no result is probeAnswered.
func (m *Manager) runProbes(ctx context.Context, probes []probe, path string) probeResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan probeResult, len(probes))
	for _, p := range probes {
		go func() {
			if path == "" {
				results <- p.connect(ctx, m.options.Network)
				return
			}
			results <- p.send(ctx, path)
		}()
	}
	best := probeFailed
	for range probes {
		best = max(best, <-results)
		if best == probeAnswered {
			break
		}
	}
	return best
}

// connect opens a connection, which does not show that it carries requests.
func (p probe) connect(ctx context.Context, network contract.Network) probeResult {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if connect(ctx, network, p.address) != nil {
		return probeFailed
	}
	return probeInconclusive
}

// send sends one request over a new connection.
func (p probe) send(ctx context.Context, path string) probeResult {
	trip := &contract.RoundTrip{NewConnection: true}
	request, err := http.NewRequestWithContext(contract.WithRoundTrip(ctx, trip), http.MethodGet, "http://"+p.address+path, nil)
	if err != nil {
		return probeInconclusive // the routes hold a malformed path
	}
	x, response, err := targetconn.Send(p.pool, p.id, request)
	if err != nil {
		return resultOf(err)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	x.Finish(err == nil && !response.Close)
	return probeAnswered
}

// resultOf returns the result of a probe that ended with an error.
func resultOf(err error) probeResult {
	var failure *contract.RoundTripError
	if !errors.As(err, &failure) {
		return probeInconclusive
	}
	switch failure.Kind {
	case contract.AttemptRefused, contract.AttemptReset, contract.AttemptWrong, contract.AttemptTruncated:
		return probeFailed
	}
	return probeInconclusive // the check has ended, or this VM may open no further connection
}
