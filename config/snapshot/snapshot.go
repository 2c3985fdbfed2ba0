// Package snapshot compiles the published shards into an immutable index that
// requests are looked up in.
package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/primroseloom/primroseloom/config/document"
)

// Snapshot is the configuration of one generation. It is never changed after
// it is built; a request keeps the snapshot that it started with.
type Snapshot struct {
	Generation   uint64
	services     map[string]*document.Service
	routes       map[string][]document.Route
	customers    map[string]*Customer
	byCredential map[string]*Customer
	rejections   []Rejection
}

// Customer is a customer with its limits filled in.
type Customer struct {
	Name     string
	Template string
	Limits   document.Limits
	// Services is the set of services that the customer may use.
	Services map[string]bool
}

// Rejection tells that a definition was not taken over and why.
type Rejection struct {
	// Path names the definition, such as "customers[tallinn].parameters.rate".
	Path   string
	Reason string
	// KeptLastGood is true when the previous definition stays in force.
	KeptLastGood bool
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (*document.Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Services returns all services in order of name.
func (s *Snapshot) Services() []*document.Service {
	services := make([]*document.Service, 0, len(s.services))
	for _, service := range s.services {
		services = append(services, service)
	}
	slices.SortFunc(services, func(a, b *document.Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// Customer returns a customer by name.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	customer, ok := s.customers[name]
	return customer, ok
}

// Customers returns the number of customers.
func (s *Snapshot) Customers() int { return len(s.customers) }

// Identify returns the customer whose credential the caller presented.
func (s *Snapshot) Identify(credential string) (*Customer, bool) {
	sum := sha256.Sum256([]byte(credential))
	customer, ok := s.byCredential[hex.EncodeToString(sum[:])]
	return customer, ok
}

// Route returns the route with the longest path prefix for a host and path.
// The host is compared without its port and without regard to case.
func (s *Snapshot) Route(host, path string) (document.Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	for _, route := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return document.Route{}, false
}

// Rejections returns the definitions that were not taken over.
func (s *Snapshot) Rejections() []Rejection { return s.rejections }

// Build compiles shards into a snapshot. A definition that does not pass is
// left out, or kept as it stands in previous, and listed in Rejections.
func Build(generation uint64, shards []document.Shard, previous *Snapshot) *Snapshot {
	snap := &Snapshot{
		Generation:   generation,
		services:     make(map[string]*document.Service),
		routes:       make(map[string][]document.Route),
		customers:    make(map[string]*Customer),
		byCredential: make(map[string]*Customer),
	}
	templates := make(map[string]document.Template)
	for _, shard := range shards {
		for i := range shard.Services {
			snap.services[shard.Services[i].Name] = &shard.Services[i]
		}
		for _, route := range shard.Routes {
			host := strings.ToLower(route.Host)
			snap.routes[host] = append(snap.routes[host], route)
		}
		for _, template := range shard.Templates {
			templates[template.Name] = template
		}
	}
	for host := range snap.routes {
		slices.SortFunc(snap.routes[host], func(a, b document.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for _, shard := range shards {
		for _, customer := range shard.Customers {
			snap.addCustomer(customer, templates, previous)
		}
	}
	return snap
}

func (s *Snapshot) addCustomer(definition document.Customer, templates map[string]document.Template, previous *Snapshot) {
	customer, err := resolve(definition, templates)
	if err != nil {
		s.reject(definition, err, previous)
		return
	}
	s.install(customer, definition.CredentialDigests)
}

func (s *Snapshot) install(customer *Customer, digests []string) {
	s.customers[customer.Name] = customer
	for _, digest := range digests {
		s.byCredential[strings.ToLower(digest)] = customer
	}
}

func (s *Snapshot) reject(definition document.Customer, cause error, previous *Snapshot) {
	rejection := Rejection{Path: "customers[" + definition.Name + "]", Reason: cause.Error()}
	if previous != nil {
		if last, ok := previous.customers[definition.Name]; ok {
			rejection.KeptLastGood = true
			s.install(last, definition.CredentialDigests)
		}
	}
	s.rejections = append(s.rejections, rejection)
}
