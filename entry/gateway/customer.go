package gateway

import "github.com/primroseloom/primroseloom/config/routing"

// authenticate finds the customer of a request by its key, and reports whether the request
// may be served: the route is public, callers need no key, or the key is valid.
func (q *request) authenticate(table *routing.Table, route *routing.Route) bool {
	q.authenticates = table.HasCustomers()
	if !q.authenticates || route.Public {
		return true
	}
	customer, ok := table.Customer(q.metadata.Key)
	q.customer = customer
	return ok
}

// customerName returns the name of the authenticated customer; empty when there is none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// priority returns the rank of the request under overload; 0 is served first.
func (q *request) priority() int {
	if q.customer != nil && q.customer.HasPriority {
		return q.customer.Priority
	}
	return q.route.Priority
}
