package targetset

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/breaker"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

const (
	// maxPathChecks is the number of targets that a check of the path connects to.
	maxPathChecks = 3
	// minSilence is how long at least an attempt waits for the head of its response before it
	// counts as lost; silentServiceTimes is that time in mean durations of its route's
	// attempts. examineInterval is the time until it is examined again.
	minSilence, examineInterval = 400 * time.Millisecond, 200 * time.Millisecond
	silentServiceTimes          = 3
	// maxUnmeasuredSilence bounds that time while the route's attempts are not measured.
	maxUnmeasuredSilence = 1500 * time.Millisecond
	// reportTime bounds how long the report of another VM's response is on its way.
	reportTime = 100 * time.Millisecond
	// servedElsewhereTime is how long after the latest response of a target to any VM the
	// service counts as served.
	servedElsewhereTime = 2 * time.Second
	// servedByTime is how long after another VM told of a response it counts as one that
	// reaches the service.
	servedByTime = time.Second
	// minServing is the number of targets that must answer other VMs while this VM's requests
	// are lost, so that the path is at fault; one suffices that has itself lost a request of this VM before.
	minServing = 2
)

// silenceLimit returns how long an attempt without a wait may be without a response until it
// counts as lost. While too few attempts of its route were measured, the route's objective is
// all that is known of their length.
func silenceLimit(reference *suspicion.Reference, overallServiceTime, objective time.Duration) time.Duration {
	limit := max(minSilence, silentServiceTimes*reference.MeanServiceTime(overallServiceTime))
	if !reference.HasServiceTime() {
		limit = max(limit, min(objective, maxUnmeasuredSilence))
	}
	return limit
}

// checkPath connects to some targets of a service and tells its breaker whether any
// accepted. It returns at once.
func (m *Manager) checkPath(name string, s *service) {
	addresses := m.addressesToCheck(s)
	go func() {
		reached := reachesAny(m.options.Network, addresses)
		m.mu.Lock()
		defer m.mu.Unlock()
		if s.breaker.Checked(reached, m.options.Uptime()) {
			m.pathLost(name, s, "connects failed", nil)
		}
	}()
}

// addressesToCheck returns the addresses of some targets that are not known to be
// unreachable; the lock is held.
func (m *Manager) addressesToCheck(s *service) []string {
	var addresses []string
	for _, i := range m.random.Perm(len(s.targets)) {
		t := s.targets[i]
		if t.usable() && !t.unreachable && len(addresses) < maxPathChecks {
			addresses = append(addresses, t.info.Address)
		}
	}
	return addresses
}

// reachesAny reports whether one of the addresses accepts a connection.
func reachesAny(network contract.Network, addresses []string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	reached := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { reached <- connect(ctx, network, address) == nil }()
	}
	for range addresses {
		if <-reached {
			return true
		}
	}
	return false
}

// connect opens a connection and closes it.
func connect(ctx context.Context, network contract.Network, address string) error {
	conn, err := network.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// responded tells the breaker of a response; the lock is held.
func (m *Manager) responded(a *Attempt, onNewConnection bool) {
	a.responded = true
	a.target.answeredHereAt = m.options.Uptime()
	if a.service.breaker.Answered(onNewConnection, m.options.Uptime()) {
		m.pathFound(a.info.Service)
	}
}

// connectFailed tells the breaker of an attempt for which no connection opened; the lock is
// held.
func (m *Manager) connectFailed(a *Attempt, now time.Duration) {
	if a.service.breaker.ConnectFailed(a.info.ID, now) {
		m.checkPath(a.info.Service, a.service)
	}
}

// examine records a late attempt as lost. Once the breaker is open, it gives up the attempt, but
// only if the request may run again and another attempt can follow.
func (a *Attempt) examine() {
	if a.examineSilence() && a.idempotent && a.abandon != nil && a.mayFollow() {
		a.giveUp()
	}
}

// examineSilence counts an attempt that has been without a response for its silence limit as
// lost, and starts the timer of the next examination. pathLost is true when no request takes
// the path.
func (a *Attempt) examineSilence() (pathLost bool) {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Uptime()
	if a.responded || a.ended {
		return false
	}
	if left := a.silenceLimit - a.trip.SinceWrite(); left > 0 {
		a.silence = time.AfterFunc(left, a.examine)
		return false
	}
	m.lost(a, false, now)
	m.examineLosses(a.info.Service, a.service)
	a.silence = time.AfterFunc(examineInterval, a.examine)
	return a.service.breaker.Blocks(now)
}

// giveUp ends a late attempt unless it has responded, or the breaker has closed, since it was
// examined. An attempt that none can follow is not given up: its response may still arrive.
func (a *Attempt) giveUp() {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Uptime()
	if a.responded || a.ended || !a.service.breaker.Blocks(now) {
		return
	}
	m.options.Scope.Counter("attempts_abandoned").Inc(1)
	events.AttemptGivenUp.Log(m.options.Logger, "target", a.info.ID, "service", a.info.Service, "at_target_ms", a.trip.SinceWrite().Milliseconds(),
		"answered_here_ms", age(a.service.answeredHereAt(), now))
	a.abandon()
}

// examineLosses opens the breaker of a service when enough attempts ended without a response
// while other VMs were answered, and checks the path when they are only late; the lock is held.
func (m *Manager) examineLosses(name string, s *service) {
	now := m.options.Uptime()
	switch finding, _ := s.finding(now); finding {
	case breaker.PathLost:
		m.openByLosses(name, s, now)
	case breaker.PathSilent:
		m.checkSilence(name, s, now)
	}
}

// finding returns what the losses show of the path, given that other VMs are answered, and the
// uptime of the first of them.
func (s *service) finding(now time.Duration) (breaker.Finding, time.Duration) {
	finding, since := s.breaker.Examine(now)
	if finding != breaker.NoFinding && s.servedSince(since+reportTime) < minServing && !s.lostServesOthers(now) {
		return breaker.NoFinding, 0
	}
	return finding, since
}

// openByLosses opens the breaker of a service; the lock is held.
func (m *Manager) openByLosses(name string, s *service, now time.Duration) {
	losses := s.breaker.Losses(now)
	s.breaker.OpenByLosses(now)
	m.pathLost(name, s, "requests lost", losses)
}

// lostServesOthers reports whether a target that lost a request of this VM has answered another
// VM since.
func (s *service) lostServesOthers(now time.Duration) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool {
		lostAt, lost := s.breaker.LostAt(t.info.ID, now)
		return lost && t.lastServedAt >= lostAt+reportTime
	})
}

// servedSince returns the number of targets that are known to have answered any VM since an
// uptime.
func (s *service) servedSince(since time.Duration) int {
	serving := 0
	for _, t := range s.targets {
		if t.lastServedAt >= since {
			serving++
		}
	}
	return serving
}

// observePath tells the breaker how the attempt ended; the lock is held.
func (a *Attempt) observePath(result Result, now time.Duration) {
	a.ended = true
	var failure *contract.RoundTripError
	if !errors.As(result.Err, &failure) || a.responded {
		return
	}
	switch {
	case failure.Kind == contract.AttemptCanceled:
		return
	case failure.Kind == contract.AttemptTimedOut:
		if now-a.startedAt >= minSilence { // otherwise the request had little time
			a.manager.lost(a, false, now)
			a.manager.examineLater(a.info.Service, a.service)
		}
		return
	case failure.Kind == contract.AttemptRefused:
		a.manager.connectFailed(a, now)
		return
	}
	a.manager.lost(a, true, now)
	a.manager.examineLater(a.info.Service, a.service)
}

// lost tells the breaker of an attempt without a response, and other VMs when that brings
// the path into doubt: a VM that is no primary VM gets their evidence only then. The
// lock is held.
func (m *Manager) lost(a *Attempt, ended bool, now time.Duration) {
	before := a.service.breaker.InDoubt(now)
	a.service.breaker.Lost(breaker.Loss{Target: a.info.ID, At: now, BegunAt: a.startedAt, Ended: ended})
	if !before && a.service.breaker.InDoubt(now) {
		m.notifier.PathChanged()
	}
}

// PathInDoubt reports whether this VM may be cut off from the targets of a service.
func (m *Manager) PathInDoubt() bool {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.services {
		if s.breaker.InDoubt(now) {
			return true
		}
	}
	return false
}

// examineLater examines the losses once the reports of other VMs may have arrived.
func (m *Manager) examineLater(name string, s *service) {
	for _, delay := range []time.Duration{reportTime + examineInterval/2, reportTime + 2*examineInterval} {
		time.AfterFunc(delay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.examineLosses(name, s)
		})
	}
}

// CutOffServices returns the services of which this VM reaches no target although these
// answer other VMs, sorted. Targets that answer nobody are down.
func (m *Manager) CutOffServices() []string {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, s := range m.services {
		if s.isCutOff() && s.servedSince(now-servedElsewhereTime) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// vmService names what one VM tells of one service.
type vmService struct{ vm, service string }

// ServedBy reports whether another VM has lately told of a response of a service's target, so
// that it reaches the service.
func (m *Manager) ServedBy(vm, service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.servedByVM[vmService{vm, service}]
	return ok && m.options.Uptime()-at < servedByTime
}

// dropServedBy forgets what VMs told of services long ago; the lock is held.
func (m *Manager) dropServedBy(now time.Duration) {
	for key, at := range m.servedByVM {
		if now-at >= servedByTime {
			delete(m.servedByVM, key)
		}
	}
}

// isCutOff reports whether this VM reaches no target of the service.
func (s *service) isCutOff() bool {
	if s.breaker.State() != breaker.Closed {
		return true
	}
	for _, t := range s.targets {
		if t.usable() && !t.connectFailed {
			return false
		}
	}
	return s.hasUnreachable()
}

// hasUnreachable reports whether this VM can't connect to one of the targets.
func (s *service) hasUnreachable() bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t.usable() && t.unreachable })
}

// pathInDoubt reports whether the path may be at fault for a failure of an attempt; the lock
// is held.
func (a *Attempt) pathInDoubt(result Result, now time.Duration) bool {
	return result.Err != nil && !a.responded && a.service.breaker.InDoubt(now)
}
