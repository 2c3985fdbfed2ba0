// Package generate generates deployments of any size for measurements.
//
// The same sizes and seed give the same deployment. Customers differ in size
// as they do in practice: few are large, most are small.
package generate

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/primroseloom/primroseloom/config/document"
)

// Sizes are the numbers of definitions of a deployment.
type Sizes struct {
	Services  int
	Targets   int
	Routes    int
	Customers int
	Templates int
	// Zones are the names of the availability zones that targets run in.
	Zones []string
}

// DesignSizes returns the sizes that the fleet is designed for.
func DesignSizes() Sizes {
	zones := []string{"r1-a", "r1-b", "r1-c", "r1-d", "r2-a", "r2-b", "r2-c", "r3-a", "r3-b", "r3-c"}
	return Sizes{Services: 260, Targets: 9300, Routes: 3800, Customers: 38000, Templates: 24, Zones: zones}
}

// Deployment returns a deployment of the given sizes; all sizes are at least 1
// and there are at least as many targets and routes as services.
func Deployment(sizes Sizes, seed uint64) document.Deployment {
	random := rand.New(rand.NewPCG(seed, seed))
	deployment := document.Deployment{}
	for i := range sizes.Services {
		targets := evenShare(sizes.Targets, sizes.Services, i)
		deployment.Services = append(deployment.Services, newService(i, targets, sizes, random))
	}
	for i := range sizes.Routes {
		deployment.Routes = append(deployment.Routes, document.Route{
			Host:       fmt.Sprintf("h%04d.fleet.example", i/4),
			PathPrefix: fmt.Sprintf("/p%d/", i%4),
			Service:    serviceName(i % sizes.Services),
		})
	}
	for i := range sizes.Templates {
		deployment.Templates = append(deployment.Templates, newTemplate(i, sizes))
	}
	for i := range sizes.Customers {
		deployment.Customers = append(deployment.Customers, newCustomer(i, sizes, random))
	}
	return deployment
}

// evenShare returns the size of one of several parts of a total; the parts differ
// by at most one.
func evenShare(total, parts, index int) int {
	count := total / parts
	if index < total%parts {
		count++
	}
	return count
}

func serviceName(index int) string { return fmt.Sprintf("service-%03d", index) }

func templateName(index int) string { return fmt.Sprintf("template-%02d", index) }

func newService(index, targets int, sizes Sizes, random *rand.Rand) document.Service {
	slots := 2 + random.IntN(2)
	result := document.Service{
		Name:           serviceName(index),
		Slots:          slots,
		MaxConnections: 330,
		FloorSlots:     targets * slots * 2 / 3,
		Deadline:       document.Duration(4e9),
		Idempotent:     []document.RequestRule{{Method: "GET", PathPrefix: "/"}, {Method: "HEAD", PathPrefix: "/"}},
		Shed:           document.Signal{Status: 503, Header: "Primroseloom-Shed"},
		Drain:          document.Signal{Status: 503, Header: "Primroseloom-Draining"},
		HealthPath:     "/healthz",
		LoadPath:       "/load",
		Detection:      document.Detection{FalseEjectionsPerTargetMonth: 0.02 + random.Float64()},
	}
	for i := range targets {
		result.Targets = append(result.Targets, document.Target{
			Name:    fmt.Sprintf("t%03d", i),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", 100+index/250, index%250, 1+i),
			Zone:    sizes.Zones[(index+i)%len(sizes.Zones)],
		})
	}
	return result
}

func newTemplate(index int, sizes Sizes) document.Template {
	number := func(value int) json.RawMessage { return json.RawMessage(strconv.Itoa(value)) }
	result := document.Template{
		Name: templateName(index),
		Parameters: []document.Parameter{
			{Name: "rate", Type: "number", Default: number(5), Minimum: number(1), Maximum: number(5000)},
			{Name: "deadline", Type: "duration", Default: json.RawMessage(`"4s"`)},
		},
		Limits: document.TemplateLimits{
			Rate: json.RawMessage(`"${rate}"`), Burst: number(20), Concurrency: number(4), Queue: number(8),
			Deadline: json.RawMessage(`"${deadline}"`), RetryRatio: json.RawMessage("0.1"), Weight: number(1 + index%4),
		},
	}
	for i := index; i < sizes.Services; i += sizes.Templates {
		result.Services = append(result.Services, serviceName(i))
	}
	return result
}

func newCustomer(index int, sizes Sizes, random *rand.Rand) document.Customer {
	name := fmt.Sprintf("customer-%05d", index)
	usable := min(sizes.Templates, sizes.Services)
	result := document.Customer{
		Name:              name,
		Template:          templateName(random.IntN(usable)),
		CredentialDigests: []string{document.Digest([]byte(Credential(name)))},
	}
	switch draw := random.IntN(100); {
	case draw < 1:
		result.Parameters = map[string]json.RawMessage{"rate": json.RawMessage("2000"), "deadline": json.RawMessage(`"2s"`)}
	case draw < 30:
		result.Parameters = map[string]json.RawMessage{"rate": json.RawMessage(strconv.Itoa(1 + random.IntN(60)))}
	}
	return result
}

// Credential returns the credential of a generated customer.
func Credential(customer string) string { return "generated-" + customer }
