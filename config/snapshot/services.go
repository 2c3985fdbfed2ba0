package snapshot

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"

	"github.com/primroseloom/primroseloom/config/check"
	"github.com/primroseloom/primroseloom/config/document"
)

var (
	errDuplicate      = errors.New("defined twice")
	errUnknownService = errors.New("names a service that does not exist")
)

// compileServices validates each service; an invalid one keeps its last good definition.
func (c *compiler) compileServices() {
	if !c.changed[document.ShardServices] {
		c.next.services = c.previous.services
		c.next.rejected[document.ShardServices] = c.previous.rejected[document.ShardServices]
		return
	}
	for _, shard := range c.parsed {
		for i := range shard.Services {
			c.addService(&shard.Services[i])
		}
	}
}

func (c *compiler) addService(service *document.Service) {
	if _, ok := c.next.services[service.Name]; ok {
		c.reject(document.ShardServices, service.Name, errDuplicate, false)
		return
	}
	last, exists := c.previous.services[service.Name]
	if exists && reflect.DeepEqual(last, service) {
		c.next.services[service.Name] = last
		return
	}
	err := joinProblems(check.Service(*service))
	if err == nil {
		c.next.services[service.Name] = service
		return
	}
	if exists {
		c.next.services[service.Name] = last
	}
	c.reject(document.ShardServices, service.Name, err, exists)
}

// compileRoutes validates each route and sorts the routes of a host by prefix
// length, longest first.
func (c *compiler) compileRoutes() {
	if !c.changed[document.ShardRoutes] {
		c.next.routes = c.previous.routes
		c.next.rejected[document.ShardRoutes] = c.previous.rejected[document.ShardRoutes]
		return
	}
	for _, shard := range c.parsed {
		for _, route := range shard.Routes {
			if err := c.addRoute(route); err != nil {
				c.reject(document.ShardRoutes, route.Host+route.PathPrefix, err, false)
			}
		}
	}
	longestFirst := func(a, b document.Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) }
	for host := range c.next.routes {
		slices.SortStableFunc(c.next.routes[host], longestFirst)
	}
}

func (c *compiler) addRoute(route document.Route) error {
	if err := joinProblems(check.Route(route)); err != nil {
		return err
	}
	if _, ok := c.next.services[route.Service]; !ok {
		return fmt.Errorf("%w: %s", errUnknownService, route.Service)
	}
	for _, other := range c.next.routes[route.Host] {
		if other.PathPrefix == route.PathPrefix {
			return errDuplicate
		}
	}
	c.next.routes[route.Host] = append(c.next.routes[route.Host], route)
	return nil
}

func joinProblems(problems []check.Problem) error {
	errs := make([]error, 0, len(problems))
	for _, problem := range problems {
		errs = append(errs, problem)
	}
	return errors.Join(errs...)
}
