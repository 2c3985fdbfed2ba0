package review

import (
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// minRevokedWithin is the least bound under which VMs keep serving while the store answers,
// since a call to it may wait 1.0 s.
const minRevokedWithin = 5 * time.Second

// checkLimits checks the limits on what callers may send.
func (r *reviewer) checkLimits() {
	limits := r.input.Document.Limits
	if limits.HeaderBytes < 0 || limits.BodyBytes < 0 {
		r.errorf(KindInvalid, "limits", "a size is negative: header %d, body %d bytes", limits.HeaderBytes, limits.BodyBytes)
	}
	if limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		r.errorf(KindInvalid, "limits", "a time-out is negative: header %v, idle %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
	set := r.input.Settings
	if set != nil && set.MemoryBytes > 0 && limits.BodyBytes > set.MemoryBytes {
		r.errorf(KindContradiction, "limits", "a body may have %d bytes, but a VM has %d bytes of memory", limits.BodyBytes, set.MemoryBytes)
	}
}

// checkCustomers checks the customers, with the rules by which VMs leave them out.
func (r *reviewer) checkCustomers() {
	customers := r.input.Document.Customers
	for _, problem := range r.input.Document.Problems {
		r.errorf(KindInvalid, problem.Path, "%s", problem.Reason)
	}
	// A document without routes always compiles; the customers do not depend on them.
	if table, err := routing.Compile(routing.Document{Customers: customers}); err == nil {
		for _, problem := range table.Problems() {
			r.errorf(KindInvalid, problem.Path, "%s", problem.Reason)
		}
	}
	if customers != nil && len(customers) == 0 {
		r.warnf(KindNeverUsed, "customers", "the list is empty: no key is valid")
	}
	r.checkCustomerKeys(customers)
	sum := 0.0
	for i := range customers {
		r.checkQuota(&customers[i])
		sum += max(customers[i].Rate, 0)
	}
	r.checkQuotaSum(sum)
}

// checkCustomerKeys reports customers as which no caller can authenticate.
func (r *reviewer) checkCustomerKeys(customers []routing.Customer) {
	owners := make(map[routing.KeyDigest]int)
	for i := range customers {
		foreign := 0
		for _, key := range customers[i].Keys {
			owner, ok := owners[key]
			if ok && owner != i {
				foreign++
				continue
			}
			owners[key] = i
		}
		path := customerPath(customers[i].Name)
		switch {
		case len(customers[i].Keys) == 0:
			r.warnf(KindNeverUsed, path, "it has no key: no caller can authenticate as it")
		case foreign == len(customers[i].Keys):
			r.errorf(KindNeverUsed, path, "all its keys (%d) belong to earlier customers", foreign)
		}
	}
}

func (r *reviewer) checkQuota(customer *routing.Customer) {
	path := customerPath(customer.Name)
	if customer.HasPriority && customer.Priority < 0 {
		r.errorf(KindInvalid, path, "the priority %d is negative", customer.Priority)
	}
	switch {
	case customer.Rate > 0 && customer.Burst < 1:
		r.errorf(KindContradiction, path, "a burst of %v requests is under one request, with a limit of %v/s", customer.Burst, customer.Rate)
	case customer.Rate == 0 && customer.Burst > 0:
		r.warnf(KindContradiction, path, "a burst of %v requests has no effect without a rate", customer.Burst)
	}
}

// checkQuotaSum compares the sum of all quotas with what all services can serve.
func (r *reviewer) checkQuotaSum(sum float64) {
	if len(r.input.Capacity) == 0 || sum == 0 {
		return
	}
	total := 0
	for _, service := range r.input.Document.Services {
		capacity, ok := r.input.Capacity[service.Name]
		if !ok {
			return
		}
		total += capacity
	}
	if sum > float64(total) {
		r.warnf(KindContradiction, "customers", "their limits add up to %v/s, and all services can serve %d/s", sum, total)
	}
}

// checkSettings reports settings that leave parts of the document without effect.
func (r *reviewer) checkSettings() {
	set := r.input.Settings
	if set == nil {
		return
	}
	if set.HedgingRatio > set.RetryRatio {
		r.warnf(KindContradiction, "settings.hedging.ratio", "%v is over the retry ratio %v, within which hedged attempts count", set.HedgingRatio, set.RetryRatio)
	}
	if set.RevokedWithin > 0 && set.RevokedWithin < minRevokedWithin {
		r.warnf(KindContradiction, "settings.keys.revoked_within", "%v is under %v: VMs refuse keys at times although the store answers", set.RevokedWithin, minRevokedWithin)
	}
	if set.RevokedWithin == 0 && r.input.Document.Customers != nil {
		r.warnf(KindContradiction, "settings.keys.revoked_within", "0 sets no bound within which a withdrawn key is refused")
	}
	if set.QuotaWindow > 0 {
		return
	}
	limited := 0
	for i := range r.input.Document.Customers {
		if r.input.Document.Customers[i].IsLimited() {
			limited++
		}
	}
	if limited > 0 {
		r.warnf(KindContradiction, "settings.quotas.window", "0 leaves the limits of %d customers without effect", limited)
	}
}
