package quotas

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/quota"
)

const (
	// refreshInterval is the time between two updates of the VMs that serve callers.
	refreshInterval = 100 * time.Millisecond
	// allInterval is the least time between two datagrams that tell of all customers.
	allInterval = 150 * time.Millisecond
	// allInHeartbeatInterval is the same for heartbeats. It is longer, since heartbeats go to
	// all VMs of the zone, and just less than the time between two heartbeats, which tell of
	// all customers while no other datagrams do.
	allInHeartbeatInterval = 190 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Settings are in force from the beginning; a Window of zero leaves the limits without
	// effect.
	Settings quota.Settings
	// Routes returns the routes in force, or nil before the first version arrived.
	Routes func() *routing.Table
	// Serving returns the other VMs that serve callers or did so lately.
	Serving func() []quota.Peer
	// ReportSoon schedules a datagram with this VM's counts to the VMs of all zones.
	ReportSoon func()
	Uptime     func() time.Duration
	Logger     *log.Logger
	Scope      tally.Scope
}

// Limiter admits the requests of customers with a limit.
type Limiter struct {
	options Options
	metrics *customerMetrics
	// on is true while the limits have effect.
	on atomic.Bool
	// refreshAt is when the serving VMs are next updated, an uptime in nanoseconds.
	refreshAt atomic.Int64

	mu     sync.Mutex
	table  *quota.Table
	limits limits
	// allAt is when a datagram last told of all customers.
	allAt time.Duration
}

// New returns a limiter.
func New(options Options) *Limiter {
	l := &Limiter{options: options, metrics: newCustomerMetrics(options.Scope.SubScope("quotas"))}
	l.SetSettings(options.Settings)
	return l
}

// SetSettings replaces the settings.
func (l *Limiter) SetSettings(settings quota.Settings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	on := settings.Window > 0
	switch {
	case !on:
		l.table = nil
	case l.table == nil:
		l.table = quota.NewTable(l.options.Uptime(), settings)
		l.refreshAt.Store(0)
	default:
		l.table.SetSettings(settings)
	}
	l.on.Store(on)
}

// Admit decides whether a request of a customer that has arrived at this VM may run, and
// charges it. RetryAfter is the time after which the caller may try again.
func (l *Limiter) Admit(customer *routing.Customer) (retryAfter time.Duration, ok bool) {
	if !l.on.Load() || !customer.IsLimited() {
		return 0, true
	}
	d, known := l.decide(customer)
	if !known {
		return 0, true
	}
	if d.ReportNow {
		l.options.ReportSoon()
	}
	if d.Begins {
		events.CustomerLimited.Log(l.options.Logger, "customer", customer.Name, "rate", customer.Rate, "burst", customer.Burst,
			"retry_after_ms", d.RetryAfter.Milliseconds())
	}
	return d.RetryAfter, d.Admitted
}

// decide asks the table; known is false when the limits have no effect any more.
func (l *Limiter) decide(customer *routing.Customer) (d quota.Decision, known bool) {
	now := l.options.Uptime()
	l.refresh(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil {
		return quota.Decision{}, false
	}
	return l.table.Admit(now, customer.Name, quota.Limit{Rate: customer.Rate, Burst: customer.Burst}), true
}

// Reports returns what the next datagram tells of this VM's admitted requests.
func (l *Limiter) Reports(isHeartbeat bool) []quota.Report {
	if !l.on.Load() {
		return nil
	}
	now := l.options.Uptime()
	l.refresh(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil {
		return nil
	}
	l.metrics.update(now, l.table.TakeUse)
	return l.table.Reports(now, l.takeFullReport(now, isHeartbeat))
}

// takeFullReport reports whether a datagram tells of all customers, not only of those close to their
// limit. The lock is held.
func (l *Limiter) takeFullReport(now time.Duration, isHeartbeat bool) bool {
	interval := allInterval
	if isHeartbeat {
		interval = allInHeartbeatInterval
	}
	if now-l.allAt < interval {
		return false
	}
	l.allAt = now
	return true
}

// Merge applies the reports of another VM's datagram, also of one without reports.
func (l *Limiter) Merge(vm string, instance uint64, reports []quota.Report) {
	if !l.on.Load() {
		return
	}
	now := l.options.Uptime()
	l.refresh(now)
	routes := l.options.Routes()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table == nil {
		return
	}
	if len(reports) > 0 {
		l.limits.follow(routes)
	}
	l.table.Merge(now, vm, instance, reports, l.limits.of)
}

// refresh updates the VMs that serve callers when that is due. It asks for them before it
// takes the lock, since the components behind it have locks of their own.
func (l *Limiter) refresh(now time.Duration) {
	due := l.refreshAt.Load()
	if int64(now) < due || !l.refreshAt.CompareAndSwap(due, int64(now+refreshInterval)) {
		return
	}
	peers := l.options.Serving()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table != nil {
		l.table.SetServing(now, peers)
	}
}
