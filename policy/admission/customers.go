package admission

import (
	"container/list"
	"math"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/retry"
)

const (
	// idleAfter is how long an account is kept after its customer's last request.
	idleAfter = time.Minute
	// evictionsPerRequest bounds the accounts looked at for each new one.
	evictionsPerRequest = 2
	// initialRetries is the number of retries that a new account holds.
	initialRetries = 1
)

// Limits are what a customer is held to on one VM, its share already taken.
type Limits struct {
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
	// Concurrency is the number of requests in progress, waiting ones included.
	Concurrency int
	// Queue is the number of requests that may wait.
	Queue int
	// RetryRatio is the number of retries earned by each request.
	RetryRatio float64
}

// Decision tells whether a request may go on.
type Decision struct {
	Admitted bool
	Reason   outcome.Reason
	// RetryAfter tells when a new attempt is worthwhile; zero when unknown.
	RetryAfter time.Duration
}

// Customers holds the accounts of the customers that were active lately. An
// account depends only on its own customer's requests. It survives every
// change of limits, because limits come in with each call.
type Customers struct {
	accounts map[string]*list.Element
	// recent holds the accounts, the one used last in front.
	recent *list.List
}

type account struct {
	name       string
	bucket     Bucket
	retries    retry.Budget
	inProgress int
	limits     Limits
	used       time.Time
	// asked counts the requests since the demand was measured last, at measured.
	asked    int
	measured time.Time
	demand   float64
}

// Demand is what one customer's callers ask of this VM.
type Demand struct {
	Customer string
	// Rate is in requests a second, refused ones included.
	Rate float64
}

// demandSmoothing is the weight of the latest interval in a demand.
const demandSmoothing = 0.5

// Demands measures what the callers of each customer that was active since a
// time have asked since the last measurement.
func (c *Customers) Demands(now, since time.Time) []Demand {
	var demands []Demand
	for element := c.recent.Front(); element != nil; element = element.Next() {
		a := element.Value.(*account)
		if a.used.Before(since) {
			break
		}
		demands = append(demands, Demand{Customer: a.name, Rate: a.measure(now)})
	}
	return demands
}

func (a *account) measure(now time.Time) float64 {
	elapsed := now.Sub(a.measured).Seconds()
	if elapsed <= 0 {
		return a.demand
	}
	rate := float64(a.asked) / elapsed
	a.demand += demandSmoothing * (rate - a.demand)
	a.asked, a.measured = 0, now
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

// Admit decides on a new request. Waiting is the number of the customer's
// requests that wait already. An admitted request is ended by Finish.
func (c *Customers) Admit(now time.Time, name string, limits Limits, waiting int) Decision {
	a := c.touch(now, name, limits)
	a.asked++
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

// Retry decides on another attempt of a request that was admitted before; it
// spends the customer's and the service's retry budgets, and no rate.
func (c *Customers) Retry(now time.Time, name string, limits Limits, service *retry.Budget) retry.Reason {
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

func (c *Customers) touch(now time.Time, name string, limits Limits) *account {
	element, ok := c.accounts[name]
	if !ok {
		c.evict(now)
		element = c.recent.PushFront(&account{name: name, retries: retry.NewBudget(initialRetries), measured: now})
		c.accounts[name] = element
	}
	c.recent.MoveToFront(element)
	a := element.Value.(*account)
	a.used, a.limits = now, limits
	return a
}

// evict forgets accounts that hold nothing a new account would not hold.
func (c *Customers) evict(now time.Time) {
	for range evictionsPerRequest {
		oldest := c.recent.Back()
		if oldest == nil {
			return
		}
		a := oldest.Value.(*account)
		if now.Sub(a.used) < idleAfter {
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

// Scale returns the part of a customer's limits that falls to one VM. Share is
// between 0 and 1. Queue and retry ratio hold for each VM by itself.
func (l Limits) Scale(share float64) Limits {
	scaled := l
	scaled.Rate = l.Rate * share
	scaled.Burst = max(l.Burst*share, 1)
	scaled.Concurrency = int(math.Ceil(float64(l.Concurrency) * share))
	return scaled
}
