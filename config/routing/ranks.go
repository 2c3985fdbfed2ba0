package routing

// RankedServices returns the services whose requests differ in rank: those of routes with
// different priorities and, where there are customers, all.
func (t *Table) RankedServices() map[string]bool {
	ranked := make(map[string]bool)
	if t.HasCustomers() {
		for name := range t.services {
			ranked[name] = true
		}
		return ranked
	}
	priorities := make(map[string]int)
	for _, route := range t.routes {
		for _, share := range route.Split {
			if priority, known := priorities[share.Service]; known && priority != route.Priority {
				ranked[share.Service] = true
			}
			priorities[share.Service] = route.Priority
		}
	}
	return ranked
}

// RanksRequests reports whether requests differ in rank: routes have different priorities, or
// there are customers.
func (t *Table) RanksRequests() bool {
	if t.HasCustomers() {
		return true
	}
	var first *Route
	for _, route := range t.routes {
		if first == nil {
			first = route
		}
		if route.Priority != first.Priority {
			return true
		}
	}
	return false
}
