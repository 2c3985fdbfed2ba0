package routing

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"time"
)

// Table finds routes. It is immutable and safe for concurrent use.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	hosts    map[string][]*Route
	routes   map[string]*Route
	// customers is nil when callers need no key.
	customers *customers
	problems  []Problem
	// longestTimeout is the longest timeout of the routes; hasUnsetTimeout is true when one sets none.
	longestTimeout  time.Duration
	hasUnsetTimeout bool
}

// Compile checks a document and builds its table.
func Compile(document Document) (*Table, error) { return CompileAfter(nil, document) }

// CompileAfter checks a document and builds its table. An invalid customer keeps the
// definition that it has in the previous table, which may be nil.
func CompileAfter(previous *Table, document Document) (*Table, error) {
	t := &Table{
		version:  document.Version,
		limits:   document.Limits,
		services: make(map[string]Service, len(document.Services)),
		hosts:    make(map[string][]*Route),
		routes:   make(map[string]*Route, len(document.Routes)),
	}
	for _, service := range document.Services {
		t.services[service.Name] = service
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		if err := route.Validate(t.hasService); err != nil {
			return nil, fmt.Errorf("compile routes version %d: %w", document.Version, err)
		}
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
		t.routes[route.Name] = route
		t.longestTimeout = max(t.longestTimeout, route.Timeout)
		t.hasUnsetTimeout = t.hasUnsetTimeout || route.Timeout == 0
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	var last *customers
	if previous != nil {
		last = previous.customers
	}
	problems := []Problem(nil)
	t.customers, problems = compileCustomers(document.Customers, last)
	t.problems = append(slices.Clone(document.Problems), problems...)
	return t, nil
}

// Problems returns the parts of the document that are left out or restricted.
func (t *Table) Problems() []Problem { return t.problems }

// Validate returns an error for a route that cannot be served with the services that
// hasService knows by name.
func (r *Route) Validate(hasService func(name string) bool) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Split) == 0 {
		return fmt.Errorf("route %s has no service", r.Name)
	}
	total := 0.0
	for _, share := range r.Split {
		if !hasService(share.Service) {
			return fmt.Errorf("route %s refers to the unknown service %s", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf("route %s: weight %v of service %s is negative", r.Name, share.Weight, share.Service)
		}
		total += share.Weight
	}
	if !(total > 0) || math.IsInf(total, 1) {
		return fmt.Errorf("route %s: the sum of the weights is %v", r.Name, total)
	}
	return nil
}

// Version returns the version of the compiled document.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// LongestTimeout returns the longest timeout of the routes, where those that set none have unset.
func (t *Table) LongestTimeout(unset time.Duration) time.Duration {
	if t.hasUnsetTimeout {
		return max(t.longestTimeout, unset)
	}
	return t.longestTimeout
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

func (t *Table) hasService(name string) bool {
	_, ok := t.services[name]
	return ok
}

// ServiceCount returns the number of services.
func (t *Table) ServiceCount() int { return len(t.services) }

// HasHost reports whether a host has routes.
func (t *Table) HasHost(host string) bool { return len(t.hosts[normalizeHost(host)]) > 0 }

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// normalizeHost removes the port from a Host header and converts it to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for one request, by weight; point is a random number in [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	rest, last := point*total, r.Split[len(r.Split)-1].Service
	for _, share := range r.Split {
		if rest < share.Weight {
			return share.Service
		}
		if share.Weight > 0 { // rounding may leave a rest behind the last weight
			last = share.Service
		}
		rest -= share.Weight
	}
	return last
}
