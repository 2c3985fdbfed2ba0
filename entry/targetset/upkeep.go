package targetset

import (
	"context"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
)

// Times of upkeep.
const (
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// reconnectInterval is the time between two tries to reach a target again.
	reconnectInterval = 400 * time.Millisecond
)

// Run closes idle connections, tries unreachable targets again and follows the
// number of VMs that share the budgets, until the context ends.
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

func (m *Manager) sweep() {
	sharers, now := m.options.Sharers(), m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		t.pool.Sweep()
	}
	for name, s := range m.services {
		s.budget.Reconfigure(m.options.Budget.Ratio, m.options.Budget.Allowance, sharers, now)
		m.gauge(name, s, now)
	}
}

// gauge publishes what is known of a service's targets; the lock is held.
func (m *Manager) gauge(name string, s *service, now time.Duration) {
	slots, inUse, suspects, unreachable := 0, 0, 0, 0
	for _, t := range s.targets {
		slots += t.info.Slots
		inUse += t.mine + t.others
		if t.suspect(now) {
			suspects++
		}
		if t.unreachable {
			unreachable++
		}
	}
	scope := m.options.Scope.Tagged(map[string]string{"service": name})
	scope.Gauge("known").Update(float64(len(s.targets)))
	scope.Gauge("slots").Update(float64(slots))
	scope.Gauge("attempts_in_progress").Update(float64(inUse))
	scope.Gauge("suspects").Update(float64(suspects))
	scope.Gauge("unreachable").Update(float64(unreachable))
	scope.Gauge("repeats_left").Update(s.budget.Available(now))
}

// reconnect tries the targets that could not be reached.
func (m *Manager) reconnect(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.targets {
		if t.unreachable {
			go m.tryReach(ctx, t)
		}
	}
}

func (m *Manager) tryReach(ctx context.Context, t *target) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := m.options.Network.DialContext(ctx, "tcp", t.info.Address)
	if err != nil {
		m.options.Scope.Counter("reconnects_failed").Inc(1)
		return
	}
	_ = conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.unreachable {
		t.unreachable = false
		events.TargetReached.Log(m.options.Logger, "target", t.info.ID, "service", t.info.Service)
	}
}
