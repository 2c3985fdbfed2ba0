package snapshot

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/primroseloom/primroseloom/config/document"
)

// Snapshot is the configuration of one generation. It is never changed after
// it is built; a request uses the snapshot that it started with to its end.
type Snapshot struct {
	Generation uint64
	// Digest is the SHA-256 digest of the root, in hex.
	Digest       string
	shards       map[string]*publishedShard
	services     map[string]*document.Service
	routes       map[string][]document.Route
	templates    map[string]*compiledTemplate
	customers    *table[string, *Customer]
	byCredential *table[credentialDigest, *Customer]
	// rejectedCustomers holds the invalid customer definitions by name.
	rejectedCustomers map[string]document.Customer
	// duplicates is true when a customer is defined by two shards.
	duplicates bool
	rejected   map[document.ShardKind][]Rejection
}

// credentialDigest is the SHA-256 digest of a customer's credential.
type credentialDigest [sha256.Size]byte

// publishedShard is the reference and the published content of one shard.
type publishedShard struct {
	ref     document.ShardRef
	content []byte
}

// Customer is a customer with its resolved limits.
type Customer struct {
	Name     string
	Template string
	Limits   document.Limits
	// Services is the set of services that the customer may use.
	Services          map[string]bool
	credentialDigests []credentialDigest
}

// Rejection reports why a definition was rejected.
type Rejection struct {
	// Path names the definition, such as "customers[tallinn]".
	Path   string `json:"path"`
	Reason string `json:"reason"`
	// KeptLastGood is true when the previous definition stays in force.
	KeptLastGood bool `json:"kept_last_good"`
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
func (s *Snapshot) Customer(name string) (*Customer, bool) { return s.customers.get(name) }

// CustomerCount returns the number of customers.
func (s *Snapshot) CustomerCount() int { return s.customers.size }

// Identify returns the customer that the caller's credential belongs to.
func (s *Snapshot) Identify(credential string) (*Customer, bool) {
	return s.byCredential.get(sha256.Sum256([]byte(credential)))
}

// Route returns the route with the longest path prefix for a host and path.
// The host is compared without its port and without regard to case.
func (s *Snapshot) Route(host, path string) (document.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range s.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return document.Route{}, false
}

// Rejections returns the definitions that were rejected, in order of path.
func (s *Snapshot) Rejections() []Rejection {
	var all []Rejection
	for _, rejections := range s.rejected {
		all = append(all, rejections...)
	}
	slices.SortStableFunc(all, func(a, b Rejection) int { return cmp.Compare(a.Path, b.Path) })
	return all
}

// RejectedCount returns the number of definitions that were rejected.
func (s *Snapshot) RejectedCount() int {
	count := 0
	for _, rejections := range s.rejected {
		count += len(rejections)
	}
	return count
}

// Shard returns the content of a shard as published.
func (s *Snapshot) Shard(digest string) ([]byte, bool) {
	shard, ok := s.shards[digest]
	if !ok {
		return nil, false
	}
	return shard.content, true
}

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// hashCredentialDigest uses the first bytes of the digest, which is uniformly distributed.
func hashCredentialDigest(key credentialDigest) uint64 { return binary.LittleEndian.Uint64(key[:]) }
