package quotas

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/quota"
)

const (
	// updateInterval is the time between two updates of the metrics.
	updateInterval = 10 * time.Second
	// namedCustomers is the number of customers with metrics of their own at a time.
	namedCustomers = 20
	// maxNames bounds the names in the life of a process, since metrics are never removed.
	maxNames = 60
	// otherCustomers names the customers without metrics of their own.
	otherCustomers = "other"
)

// customerMetrics counts the requests of the customers with the most requests by name, and
// those of all others together.
type customerMetrics struct {
	scope     tally.Scope
	updatedAt time.Duration
	names     map[string]tally.Scope
}

func newCustomerMetrics(scope tally.Scope) *customerMetrics {
	return &customerMetrics{scope: scope, names: make(map[string]tally.Scope)}
}

// update adds the requests since the update before, when one is due.
func (m *customerMetrics) update(now time.Duration, takeUse func() []quota.Use) {
	if now-m.updatedAt < updateInterval {
		return
	}
	m.updatedAt = now
	for rank, use := range takeUse() {
		scope := m.scopeOf(rank, use.Name)
		scope.Counter("requests_admitted").Inc(int64(use.Admitted))
		scope.Counter("requests_refused").Inc(int64(use.Refused))
	}
}

// scopeOf returns the scope of a customer by its rank among all, 0 for the one with the most
// requests.
func (m *customerMetrics) scopeOf(rank int, name string) tally.Scope {
	if scope, ok := m.names[name]; ok && rank < namedCustomers {
		return scope
	}
	if rank >= namedCustomers || len(m.names) >= maxNames {
		return m.scope.Tagged(map[string]string{"customer": otherCustomers})
	}
	scope := m.scope.Tagged(map[string]string{"customer": name})
	m.names[name] = scope
	return scope
}
