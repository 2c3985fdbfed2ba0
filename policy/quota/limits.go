package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings bound how far customers may exceed their limits.
type Settings struct {
	// Window is the time in which at most (Rate x Window + Burst) x (1 + Overrun) + Slack
	// requests of a customer may run.
	Window time.Duration
	// Overrun is a fraction, Slack is in requests.
	Overrun, Slack float64
}

// Limit is a customer's limit for all VMs together.
type Limit struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Customer is the hash of a customer's name.
type Customer uint64

// HashOf returns the hash by which reports name a customer.
func HashOf(name string) Customer { return Customer(xxhash.Sum64String(name)) }

const (
	// aimedOverrun and aimedSlack are the parts of the overrun and of the slack that the
	// bucket itself allows.
	aimedOverrun = 0.2
	aimedSlack   = 0.25
)

// Bound returns the number of requests that may run in any window.
func (s Settings) Bound(limit Limit) float64 {
	return (limit.Rate*s.Window.Seconds()+limit.Burst)*(1+s.Overrun) + s.Slack
}

// aim returns the rate and burst of the bucket, which lie between the limit and the bound.
// The burst allows at least one request.
func (s Settings) aim(limit Limit) Limit {
	return Limit{
		Rate:  limit.Rate * (1 + aimedOverrun*s.Overrun),
		Burst: max(limit.Burst*(1+aimedOverrun*s.Overrun)+aimedSlack*s.Slack, 1),
	}
}

// margin returns the requests of a window between the aim and the bound.
func (s Settings) margin(limit, aim Limit) float64 {
	return max(s.Bound(limit)-aim.Rate*s.Window.Seconds()-aim.Burst, 0)
}
