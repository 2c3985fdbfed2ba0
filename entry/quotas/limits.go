package quotas

import (
	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/quota"
)

// limits finds the limits of customers by the hash of their name. The index is built when a
// datagram first needs it after a change of the routes.
type limits struct {
	routes     *routing.Table
	byCustomer map[quota.Customer]quota.Limit
}

// follow builds the index of the routes in force.
func (l *limits) follow(routes *routing.Table) {
	if routes == l.routes {
		return
	}
	l.routes, l.byCustomer = routes, make(map[quota.Customer]quota.Limit)
	if routes == nil {
		return
	}
	for customer := range routes.Customers() {
		if customer.IsLimited() {
			l.byCustomer[quota.HashOf(customer.Name)] = quota.Limit{Rate: customer.Rate, Burst: customer.Burst}
		}
	}
}

// of returns the limit of a customer; ok is false when it has none.
func (l *limits) of(customer quota.Customer) (limit quota.Limit, ok bool) {
	limit, ok = l.byCustomer[customer]
	return limit, ok
}
