package targetset

import (
	"context"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/breaker"
)

// Intervals of the maintenance loop.
const (
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	// reconnectInterval is the time between attempts to reconnect to a target.
	reconnectInterval = 400 * time.Millisecond
)

// Run closes idle connections, reconnects to unreachable targets and adapts the
// retry budgets to the number of VMs that share them, until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	reconnect := time.NewTicker(reconnectInterval)
	defer reconnect.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			m.sweep()
		case <-reconnect.C:
			m.reconnect(ctx)
		}
	}
}

// SetBudget changes the retry budget of the fleet.
func (m *Manager) SetBudget(budget Budget) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Budget = budget
}

func (m *Manager) sweep() {
	sharers, now := m.options.Sharers(), m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		t.pool.CloseExpired()
	}
	m.notices.Expire(now)
	m.dropServedBy(now)
	for name, s := range m.services {
		s.budget.Reconfigure(m.options.Budget.Ratio, m.options.Budget.Allowance, sharers, now)
		m.updateGauges(name, s, now)
		m.updateRoom(name, s, now)
	}
}

// updateGauges updates the metrics of a service's targets; the lock is held.
func (m *Manager) updateGauges(name string, s *service, now time.Duration) {
	slots, inUse, suspects, unreachable := 0, 0, 0, 0
	limited, leaving, paused := 0, 0, 0
	for _, t := range s.targets {
		slots += t.info.Slots
		inUse += t.ownAttempts + t.remoteAttempts
		if t.suspect(now) {
			suspects++
		}
		if t.unreachable {
			unreachable++
		}
		state := m.notices.StateOf(processOf(t.info))
		if state.IsLimited {
			limited++
		}
		if state.IsLeaving {
			leaving++
		}
		if now < state.PausedUntil {
			paused++
		}
	}
	scope := m.options.Scope.Tagged(map[string]string{"service": name})
	scope.Gauge("known").Update(float64(len(s.targets)))
	scope.Gauge("slots").Update(float64(slots))
	scope.Gauge("attempts_in_progress").Update(float64(inUse))
	scope.Gauge("suspects").Update(float64(suspects))
	scope.Gauge("unreachable").Update(float64(unreachable))
	scope.Gauge("path_state").Update(float64(s.breaker.State()))
	scope.Gauge("limited").Update(float64(limited))
	scope.Gauge("leaving").Update(float64(leaving))
	scope.Gauge("paused").Update(float64(paused))
	scope.Gauge("repeats_left").Update(s.budget.Available(now))
}

// reconnect tries in the background to connect to all unreachable targets and, where none of
// a service can be reached, to some of the others.
func (m *Manager) reconnect(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Uptime()
	for name, s := range m.services {
		if s.breaker.State() == breaker.Open {
			m.reconnectSome(ctx, s)
		}
		if s.breaker.Settle(now) {
			m.pathFound(name)
		}
		for _, t := range s.targets {
			if t.unreachable {
				go m.reconnectTarget(ctx, t, t.info.Address)
			}
		}
	}
}

// reconnectSome connects to some targets of a service that are not known to be unreachable;
// the lock is held.
func (m *Manager) reconnectSome(ctx context.Context, s *service) {
	connects := 0
	for _, index := range m.random.Perm(len(s.targets)) {
		if t := s.targets[index]; !t.unreachable && connects < maxPathChecks {
			connects++
			go m.reconnectTarget(ctx, t, t.info.Address)
		}
	}
}

// reconnectFailed records that no connection to a target opened, and tells the breaker.
func (m *Manager) reconnectFailed(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t.connectFailed = t.unreachable
	if s, ok := m.services[t.info.Service]; ok && !t.unreachable {
		s.breaker.ReconnectFailed()
	}
}

// reconnectTarget connects to a target at its address.
func (m *Manager) reconnectTarget(ctx context.Context, t *target, address string) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := m.options.Network.DialContext(ctx, "tcp", address)
	if err != nil {
		m.options.Scope.Counter("reconnects_failed").Inc(1)
		m.reconnectFailed(t)
		return
	}
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.services[t.info.Service]; ok {
		s.breaker.Connected(m.options.Uptime())
	}
	if t.unreachable {
		t.unreachable, t.connectFailed = false, false
		events.TargetReachable.Log(m.options.Logger, "target", t.info.ID, "service", t.info.Service)
	}
}
