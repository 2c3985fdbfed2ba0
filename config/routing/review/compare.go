package review

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// compare adds the differences from the version in force, and the bounds within which VMs
// apply them.
func (r *reviewer) compare() {
	old, next := r.input.InForce, &r.input.Document
	r.compareServices(old, next)
	r.compareRoutes(old, next)
	compareValue(r, "limits", "header size", old.Limits.HeaderBytes, next.Limits.HeaderBytes)
	compareValue(r, "limits", "body size", old.Limits.BodyBytes, next.Limits.BodyBytes)
	compareValue(r, "limits", "header time-out", old.Limits.HeaderTimeout, next.Limits.HeaderTimeout)
	compareValue(r, "limits", "idle time-out", old.Limits.IdleTimeout, next.Limits.IdleTimeout)
	r.compareCustomers(old, next)
	r.compareVersions(old, next)
}

// compareVersions reports a version that VMs ignore: they replace a version only by a higher
// one.
func (r *reviewer) compareVersions(old, next *routing.Document) {
	isNewer := next.Version > old.Version
	isSame := next.Version == old.Version && len(r.report.Changes) == 0
	if !isNewer && !isSame {
		r.errorf(KindVersion, "version", "%d is not over %d, which is in force: VMs ignore it", next.Version, old.Version)
	}
}

// compareValue adds a change when a value differs.
func compareValue[V comparable](r *reviewer, path, name string, old, next V) {
	if old != next {
		r.changef(path, "%s from %v to %v", name, old, next)
	}
}

// index returns the items of a list by key; of items with the same key, the first.
func index[T any](items []T, key func(*T) string) map[string]*T {
	byKey := make(map[string]*T, len(items))
	for i := range items {
		if _, ok := byKey[key(&items[i])]; !ok {
			byKey[key(&items[i])] = &items[i]
		}
	}
	return byKey
}

// pair calls both for each item of next that old has too, and added and dropped for the
// others. Items with the key of an earlier one are skipped.
func pair[T any](old, next []T, key func(*T) string, both func(old, next *T), added, dropped func(*T)) {
	oldByKey, nextByKey := index(old, key), index(next, key)
	for i := range next {
		item := &next[i]
		if nextByKey[key(item)] != item {
			continue
		}
		if last, ok := oldByKey[key(item)]; ok {
			both(last, item)
			continue
		}
		added(item)
	}
	for i := range old {
		item := &old[i]
		if _, ok := nextByKey[key(item)]; !ok && oldByKey[key(item)] == item {
			dropped(item)
		}
	}
}

func (r *reviewer) compareServices(old, next *routing.Document) {
	pair(old.Services, next.Services, func(s *routing.Service) string { return s.Name },
		func(old, next *routing.Service) {
			path := servicePath(next.Name)
			compareValue(r, path, "health path", old.HealthPath, next.HealthPath)
			compareValue(r, path, "connections of a target", old.MaxConnections, next.MaxConnections)
		},
		func(s *routing.Service) { r.changef(servicePath(s.Name), "added") },
		func(s *routing.Service) { r.changef(servicePath(s.Name), "dropped") })
}

func (r *reviewer) compareRoutes(old, next *routing.Document) {
	pair(old.Routes, next.Routes, routeKey, r.compareRoute,
		func(route *routing.Route) {
			r.changef(routePath(route), "added: %s%s to %s", route.Host, route.Prefix, describeSplit(route.Split))
		},
		func(route *routing.Route) {
			r.changef(routePath(route), "dropped: %s%s", route.Host, route.Prefix)
		})
}

func (r *reviewer) compareRoute(old, next *routing.Route) {
	path := routePath(next)
	compareValue(r, path, "place", old.Host+old.Prefix, next.Host+next.Prefix)
	if !slices.Equal(old.Split, next.Split) {
		r.changef(path, "moved from %s to %s", describeSplit(old.Split), describeSplit(next.Split))
	}
	compareValue(r, path, "kind", old.Kind, next.Kind)
	compareValue(r, path, "time limit", old.Timeout, next.Timeout)
	compareValue(r, path, "objective", old.Objective, next.Objective)
	compareValue(r, path, "priority", old.Priority, next.Priority)
	compareValue(r, path, "attempts", old.MaxAttempts, next.MaxAttempts)
	if old.Public != next.Public {
		r.changef(path, "%s", publicText(next.Public))
	}
}

func publicText(public bool) string {
	if public {
		return "callers need no key any more"
	}
	return "callers need a key now"
}

// describeSplit renders services and, for several ones, their weights.
func describeSplit(split []routing.Share) string {
	if len(split) == 1 {
		return split[0].Service
	}
	parts := make([]string, len(split))
	for i, share := range split {
		parts[i] = fmt.Sprintf("%s (%v)", share.Service, share.Weight)
	}
	return strings.Join(parts, ", ")
}

func (r *reviewer) compareCustomers(old, next *routing.Document) {
	switch {
	case old.Customers == nil && next.Customers != nil:
		r.changef("customers", "callers need a key now")
	case old.Customers != nil && next.Customers == nil:
		r.changef("customers", "callers need no key any more")
	}
	pair(old.Customers, next.Customers, func(c *routing.Customer) string { return c.Name },
		r.compareCustomer,
		func(c *routing.Customer) { r.changef(customerPath(c.Name), "added, with %d keys", len(c.Keys)) },
		func(c *routing.Customer) { r.changef(customerPath(c.Name), "dropped, with %d keys", len(c.Keys)) })
	r.boundKeys(countMissing(allKeys(old.Customers), allKeys(next.Customers)))
}

// allKeys returns the keys of all customers.
func allKeys(customers []routing.Customer) []routing.KeyDigest {
	var keys []routing.KeyDigest
	for i := range customers {
		keys = append(keys, customers[i].Keys...)
	}
	return keys
}

func (r *reviewer) compareCustomer(old, next *routing.Customer) {
	path := customerPath(next.Name)
	added, withdrawn := countMissing(next.Keys, old.Keys), countMissing(old.Keys, next.Keys)
	if added > 0 || withdrawn > 0 {
		r.changef(path, "%d keys added, %d withdrawn", added, withdrawn)
	}
	if old.HasPriority != next.HasPriority || old.Priority != next.Priority {
		r.changef(path, "priority from %s to %s", describePriority(old), describePriority(next))
	}
	if old.Rate != next.Rate || old.Burst != next.Burst {
		r.changef(path, "limit %s from %s to %s", direction(old, next), describeQuota(old), describeQuota(next))
		r.boundQuota(next)
	}
}

// countMissing returns the number of keys of one list that the other does not have.
func countMissing(keys, other []routing.KeyDigest) int {
	has := make(map[routing.KeyDigest]bool, len(other))
	for _, key := range other {
		has[key] = true
	}
	missing := 0
	for _, key := range keys {
		if !has[key] {
			missing++
		}
	}
	return missing
}

func describePriority(customer *routing.Customer) string {
	if !customer.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(customer.Priority)
}

func describeQuota(customer *routing.Customer) string {
	if !customer.IsLimited() {
		return "none"
	}
	return fmt.Sprintf("%v/s with a burst of %v", customer.Rate, customer.Burst)
}

// direction tells whether a limit is lowered or raised; no limit is the highest.
func direction(old, next *routing.Customer) string {
	switch {
	case !old.IsLimited() && !next.IsLimited():
		return "changed"
	case !next.IsLimited():
		return "raised"
	case !old.IsLimited():
		return "lowered"
	case next.Rate <= old.Rate && next.Burst <= old.Burst:
		return "lowered"
	case next.Rate >= old.Rate && next.Burst >= old.Burst:
		return "raised"
	default:
		return "changed"
	}
}

// boundKeys states within which time VMs refuse the keys that no customer has any more.
func (r *reviewer) boundKeys(withdrawn int) {
	set := r.input.Settings
	if set == nil || withdrawn == 0 || r.input.Document.Customers == nil {
		return
	}
	if set.RevokedWithin == 0 {
		r.boundf("%d withdrawn keys: no bound within which VMs refuse them", withdrawn)
		return
	}
	r.boundf("%d withdrawn keys: no VM serves them later than %v after the store confirmed this version", withdrawn, set.RevokedWithin)
}

// boundQuota states how many requests of a customer may run in a window.
func (r *reviewer) boundQuota(customer *routing.Customer) {
	set := r.input.Settings
	if set == nil || set.QuotaWindow == 0 || !customer.IsLimited() {
		return
	}
	allowed := (customer.Rate*set.QuotaWindow.Seconds()+customer.Burst)*(1+set.QuotaOverrun) + set.QuotaSlack
	r.boundf("%s: at most %.0f requests run in any %v", customerPath(customer.Name), allowed, set.QuotaWindow.Round(time.Millisecond))
}
