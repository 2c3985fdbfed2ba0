package room

import (
	"math"
	"time"
)

const (
	// usualTimeConstant is the time constant of the average that is a customer's usual use.
	usualTimeConstant = 60 * time.Second
	// entitlementFactor is the ratio of an entitlement to the usual use. A customer that sends
	// 1.7 times as much as usual for some seconds stays within it.
	entitlementFactor = 2.0
	// bucketTime is the time for which a full bucket provides the entitlement.
	bucketTime = 500 * time.Millisecond
	// bucketRequests is the number of requests of mean run time that a full bucket provides at
	// least, since the requests of a small customer come in clusters.
	bucketRequests = 4
	// minOwnExcessPart is the part of a customer's recent work from which its excess is told
	// apart; less comes from chance.
	minOwnExcessPart = 0.1
	// learnBelow is the load up to which usual use is learned while no customer exceeds its
	// entitlement, learnExcessBelow the one up to which it is learned in any case.
	learnBelow, learnExcessBelow = 0.9, 0.6
	// learnTime is the time in which everything is learned, and within which no customer exceeds
	// its entitlement: a VM that has just started knows nothing of its customers.
	learnTime = 10 * time.Second
	// idleTime is the time after which an account without requests is removed.
	idleTime = time.Minute
	// maxAccounts bounds the accounts of a service; further customers share one.
	maxAccounts = 16_384
)

// customers holds the accounts of the customers of a service.
type customers struct {
	accounts map[string]*account
	// shared is the account of customers beyond maxAccounts.
	shared account
	// total is the usual use of all customers.
	total use
	// growth is the present use over the usual use, of most customers.
	growth growth
	// learned is the time during which usual use was learned; learning is true while it is.
	learned   time.Duration
	learning  bool
	startedAt time.Duration
	checkedAt time.Duration
	sweptAt   time.Duration
}

// account is what is known of one customer.
type account struct {
	usual use
	// recent is its recent work, as an exponentially weighted sum in slot-seconds until recentAt;
	// recentExcess is the part beyond the entitlement.
	recent, recentExcess float64
	recentAt             time.Duration
	// tokens is the work in slot-seconds that is left of the entitlement.
	tokens   float64
	filledAt time.Duration
	// credit adds up the admitted parts of its requests; at 1 one is admitted.
	credit float64
	// seenAt is when its latest request came.
	seenAt time.Duration
}

// use is an exponentially weighted sum of work over the time during which use was learned.
type use struct {
	work float64
	at   time.Duration
}

// add adds work to the sum.
func (u *use) add(work float64, learned time.Duration) {
	u.work = u.work*decayOver(learned-u.at) + work
	u.at = learned
}

// rate returns the average in slot-seconds a second. The divisor corrects for a short history.
func (u *use) rate(learned time.Duration) float64 {
	if learned <= 0 {
		return 0
	}
	window := usualTimeConstant.Seconds() * (1 - decayOver(learned))
	return u.work * decayOver(learned-u.at) / window
}

// decayOver returns the weight that is left of what is this old.
func decayOver(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / usualTimeConstant.Seconds())
}

// account returns the account of a customer and creates it if necessary.
func (c *customers) account(name string, now time.Duration) *account {
	if c.accounts == nil {
		c.accounts = make(map[string]*account)
		c.startedAt, c.checkedAt, c.sweptAt = now, now, now
	}
	if now-c.sweptAt >= idleTime {
		c.sweep(now)
	}
	a, known := c.accounts[name]
	switch {
	case known:
	case len(c.accounts) >= maxAccounts:
		a = &c.shared
	default:
		a = &account{tokens: math.Inf(1), credit: 0.5, filledAt: now}
		c.accounts[name] = a
	}
	a.seenAt = now
	return a
}

// sweep removes the accounts that had no requests for long.
func (c *customers) sweep(now time.Duration) {
	c.sweptAt = now
	for name, a := range c.accounts {
		if now-a.seenAt >= idleTime {
			delete(c.accounts, name)
		}
	}
}

// advance notes whether usual use is learned at this load.
func (c *customers) advance(load float64, hasExcess bool, now time.Duration) {
	c.learning = load < learnExcessBelow || load < learnBelow && !hasExcess || c.isNew(now)
	if c.learning {
		c.learned += now - c.checkedAt
	}
	c.checkedAt = now
}

// isNew reports whether too little is known of the customers.
func (c *customers) isNew(now time.Duration) bool { return now-c.startedAt < learnTime }

// charge takes the work of a request from its customer's bucket, and reports whether the
// request exceeds the entitlement. What goes beyond it takes nothing.
func (c *customers) charge(a *account, work, meanWork float64, now time.Duration) bool {
	if c.learning {
		a.usual.add(work, c.learned)
		c.total.add(work, c.learned)
	}
	a.addRecent(work, now)
	c.updateGrowth(now)
	rate := c.entitlement(a)
	depth := max(rate*bucketTime.Seconds(), bucketRequests*meanWork)
	a.tokens = min(a.tokens+rate*(now-a.filledAt).Seconds(), depth)
	a.filledAt = now
	if a.tokens < work && !c.isNew(now) {
		a.recentExcess += work
		return a.recentExcess >= minOwnExcessPart*a.recent
	}
	a.tokens = max(a.tokens-work, 0)
	return false
}

// entitlement returns the work in slot-seconds a second to which a customer is entitled.
func (c *customers) entitlement(a *account) float64 {
	even := c.total.rate(c.learned) / float64(max(len(c.accounts), 1))
	return entitlementFactor * c.growth.factor() * max(even, a.usual.rate(c.learned))
}

// passes adds the admitted part of the requests to the credit, and reports whether the request
// is admitted.
func (a *account) passes(part float64) bool {
	if part >= 1 {
		return true
	}
	a.credit += part
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
