package admission

import (
	"container/list"
	"math"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

const (
	// minIdleTime is the time since its customer's last request after which an
	// account may be evicted.
	minIdleTime = time.Minute
	// maxEvictionsPerInsert bounds the accounts that are checked for eviction when
	// an account is created.
	maxEvictionsPerInsert = 2
	// initialRetries is the retry budget of a new account.
	initialRetries = 1
)

// Limits are a customer's limits for the whole fleet or, after Scale, for one VM.
// Queue and RetryRatio apply to each VM separately in both cases.
type Limits struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
	// Concurrency is the maximum number of requests in progress, including waiting
	// ones.
	Concurrency int
	// Queue is the maximum number of waiting requests.
	Queue int
	// RetryRatio is the number of retries that each request adds to the retry budget.
	RetryRatio float64
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	Reason   outcome.Reason
	// RetryAfter is the time after which the caller may retry; zero when unknown.
	RetryAfter time.Duration
}

// Customers holds the accounts of the customers that were active lately. An
// account depends only on the requests of its own customer. A change of limits
// does not reset it, because limits are passed to each call.
type Customers struct {
	accounts map[string]*list.Element
	// recent holds the accounts, the most recently used first.
	recent *list.List
}

// account is the admission state of one customer.
type account struct {
	name       string
	bucket     Bucket
	retries    retry.Budget
	inProgress int
	limits     Limits
	lastUsed   time.Time
	// arrivals counts the requests since measuredAt, when demand was last measured.
	arrivals   int
	measuredAt time.Time
	demand     float64
}

// Demand is the request rate of one customer's callers at this VM.
type Demand struct {
	Customer string
	// Rate is in requests per second, including refused ones.
	Rate float64
}

// demandSmoothing is the weight of the latest interval in the smoothed demand.
const demandSmoothing = 0.5

// MeasureDemands returns the demand of each customer that was active after since,
// updated with the requests since the last measurement.
func (c *Customers) MeasureDemands(now, since time.Time) []Demand {
	var demands []Demand
	for element := c.recent.Front(); element != nil; element = element.Next() {
		a := element.Value.(*account)
		if a.lastUsed.Before(since) {
			break
		}
		demands = append(demands, Demand{Customer: a.name, Rate: a.measureDemand(now)})
	}
	return demands
}

func (a *account) measureDemand(now time.Time) float64 {
	elapsed := now.Sub(a.measuredAt).Seconds()
	if elapsed <= 0 {
		return a.demand
	}
	rate := float64(a.arrivals) / elapsed
	a.demand += demandSmoothing * (rate - a.demand)
	a.arrivals, a.measuredAt = 0, now
	return a.demand
}

// NewCustomers returns an empty set of accounts.
func NewCustomers() *Customers {
	return &Customers{accounts: make(map[string]*list.Element), recent: list.New()}
}

// Len returns the number of accounts held.
func (c *Customers) Len() int { return len(c.accounts) }

// InProgress returns the number of requests of a customer in progress.
func (c *Customers) InProgress(name string) int {
	if element, ok := c.accounts[name]; ok {
		return element.Value.(*account).inProgress
	}
	return 0
}

// Admit decides whether a new request is admitted. Waiting is the number of the
// customer's requests that already wait. The caller must end an admitted request
// with Finish.
func (c *Customers) Admit(now time.Time, name string, limits Limits, waiting int) Decision {
	a := c.touch(now, name, limits)
	a.arrivals++
	if a.inProgress >= limits.Concurrency {
		return Decision{Reason: outcome.ReasonConcurrencyLimit}
	}
	if waiting > 0 && waiting >= limits.Queue {
		return Decision{Reason: outcome.ReasonQueueFull}
	}
	wait, ok := a.bucket.Take(now, limits.Rate, limits.Burst)
	if !ok {
		return Decision{Reason: outcome.ReasonRateLimit, RetryAfter: wait}
	}
	a.inProgress++
	a.retries.Earn(limits.RetryRatio)
	return Decision{Admitted: true}
}

// AdmitRetry decides on another attempt of a request that was admitted before. It
// spends the customer's and the service's retry budgets, but no token of the rate
// limit.
func (c *Customers) AdmitRetry(now time.Time, name string, limits Limits, service *retry.Budget) retry.Reason {
	a := c.touch(now, name, limits)
	reason := retry.SpendBudgets(&a.retries, service)
	if reason == retry.Allowed {
		a.inProgress++
	}
	return reason
}

// Finish ends an admitted request or retry.
func (c *Customers) Finish(name string) {
	element, ok := c.accounts[name]
	if !ok {
		return
	}
	a := element.Value.(*account)
	a.inProgress = max(a.inProgress-1, 0)
}

// touch returns the customer's account, created if necessary, as the most
// recently used.
func (c *Customers) touch(now time.Time, name string, limits Limits) *account {
	element, ok := c.accounts[name]
	if !ok {
		c.evict(now)
		element = c.recent.PushFront(&account{name: name, retries: retry.NewBudget(initialRetries), measuredAt: now})
		c.accounts[name] = element
	}
	c.recent.MoveToFront(element)
	a := element.Value.(*account)
	a.lastUsed, a.limits = now, limits
	return a
}

// evict removes idle accounts without requests in progress and with a full token
// bucket, since the bucket of a new account is full too. The retry budget and the
// measured demand of an evicted customer start over.
func (c *Customers) evict(now time.Time) {
	for range maxEvictionsPerInsert {
		oldest := c.recent.Back()
		if oldest == nil {
			return
		}
		a := oldest.Value.(*account)
		if now.Sub(a.lastUsed) < minIdleTime {
			return
		}
		if a.inProgress > 0 || !a.bucket.Full(now, a.limits.Rate, a.limits.Burst) {
			c.recent.MoveToFront(oldest)
			continue
		}
		c.recent.Remove(oldest)
		delete(c.accounts, a.name)
	}
}

// Scale returns one VM's share, between 0 and 1, of a customer's limits. Queue
// and RetryRatio apply to each VM separately and are not scaled.
func (l Limits) Scale(share float64) Limits {
	scaled := l
	scaled.Rate = l.Rate * share
	scaled.Burst = max(l.Burst*share, 1)
	scaled.Concurrency = int(math.Ceil(float64(l.Concurrency) * share))
	return scaled
}
