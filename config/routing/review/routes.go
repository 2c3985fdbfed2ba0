package review

import (
	"net"
	"strings"

	"github.com/primroseloom/primroseloom/config/routing"
)

// checkServices reports services that are unnamed, defined twice or used by no route.
func (r *reviewer) checkServices() {
	used := make(map[string]bool)
	for i := range r.input.Document.Routes {
		for _, share := range r.input.Document.Routes[i].Split {
			used[share.Service] = true
		}
	}
	seen := make(map[string]bool)
	for _, service := range r.input.Document.Services {
		path := servicePath(service.Name)
		switch {
		case service.Name == "":
			r.errorf(KindInvalid, path, "the name is missing")
		case seen[service.Name]:
			r.errorf(KindNeverUsed, path, "defined more than once: only the last definition is used")
		case !used[service.Name]:
			r.warnf(KindNeverUsed, path, "no route uses it")
		}
		seen[service.Name] = true
		if service.MaxConnections < 0 {
			r.errorf(KindInvalid, path, "max connections %d is negative", service.MaxConnections)
		}
	}
}

func (r *reviewer) checkRoutes() {
	services := make(map[string]bool, len(r.input.Document.Services))
	for _, service := range r.input.Document.Services {
		services[service.Name] = true
	}
	hasService := func(name string) bool { return services[name] }
	names := make(map[string]bool)
	for i := range r.input.Document.Routes {
		route := &r.input.Document.Routes[i]
		if err := route.Validate(hasService); err != nil {
			r.errorf(KindInvalid, routePath(route), "%v: VMs reject the whole version", err)
		}
		if route.Name != "" && names[route.Name] {
			r.errorf(KindInvalid, routePath(route), "another route has the same name")
		}
		names[route.Name] = true
		r.checkRouteLimits(route)
		r.checkAttempts(route)
	}
	r.checkReachable()
}

// checkReachable reports routes that the match by host and longest prefix never returns: of
// two routes with the same host and prefix, the first one gets all requests.
func (r *reviewer) checkReachable() {
	type place struct{ host, prefix string }
	first := make(map[place]*routing.Route)
	for i := range r.input.Document.Routes {
		route := &r.input.Document.Routes[i]
		host := strings.ToLower(route.Host)
		if host == "" {
			r.errorf(KindNeverUsed, routePath(route), "the host is missing: no request matches")
			continue
		}
		if _, _, err := net.SplitHostPort(host); err == nil {
			r.errorf(KindNeverUsed, routePath(route), "host %s has a port: no request matches, since the port of a request is ignored", route.Host)
			continue
		}
		at := place{host, route.Prefix}
		if earlier, ok := first[at]; ok {
			r.errorf(KindNeverUsed, routePath(route), "route %s has the same host and prefix: no request matches", routeKey(earlier))
			continue
		}
		first[at] = route
	}
}

func (r *reviewer) checkRouteLimits(route *routing.Route) {
	path := routePath(route)
	if route.Timeout < 0 {
		r.errorf(KindInvalid, path, "the time limit %v is negative", route.Timeout)
	}
	if route.Objective < 0 {
		r.errorf(KindInvalid, path, "the objective %v is negative", route.Objective)
	}
	if route.Timeout > 0 && route.Timeout < route.Objective {
		r.errorf(KindContradiction, path, "the time limit %v is under the objective %v", route.Timeout, route.Objective)
	}
	if route.Priority < 0 {
		r.errorf(KindInvalid, path, "the priority %d is negative", route.Priority)
	}
}

// checkAttempts compares a route's attempts with the targets of its services.
func (r *reviewer) checkAttempts(route *routing.Route) {
	for _, share := range route.Split {
		targets, known := r.input.Targets[share.Service]
		if known && route.MaxAttempts > targets {
			r.errorf(KindContradiction, routePath(route), "%d attempts, but service %s has %d targets", route.MaxAttempts, share.Service, targets)
		}
	}
	set := r.input.Settings
	if set != nil && route.MaxAttempts > 1 && set.RetryRatio == 0 && set.RetryAllowance == 0 {
		r.warnf(KindContradiction, routePath(route), "%d attempts, but the settings allow no retries", route.MaxAttempts)
	}
}
