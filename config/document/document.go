// Package document defines the JSON documents that operators write and the
// values that the platform publishes.
//
// An operator writes a Deployment: services with their targets, routes,
// customer templates and customers. It is rendered into one Root and a number
// of Shards. The root refers to its shards by digest, so a reader can verify
// a shard from any source.
package document

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration encoded as a JSON string such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit, such as "250ms" or "4s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s: want a string with a unit, such as \"250ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as \"250ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Deployment is everything an operator publishes.
type Deployment struct {
	Services  []Service  `json:"services" validate:"required,min=1,dive"`
	Routes    []Route    `json:"routes" validate:"required,min=1,dive"`
	Templates []Template `json:"templates" validate:"dive"`
	Customers []Customer `json:"customers" validate:"dive"`
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string `json:"name" validate:"name"`
	// Slots is the number of requests a target runs at a time.
	Slots int `json:"slots" validate:"min=1,max=100000"`
	// MaxConnections is the number of connections a target accepts from the whole fleet.
	MaxConnections int `json:"max_connections" validate:"min=1,max=1000000,gtefield=Slots"`
	// FloorSlots is the healthy capacity that ejection must leave, in slots.
	FloorSlots int `json:"floor_slots" validate:"min=0"`
	// Deadline applies to a request when neither its caller nor the template sets one.
	Deadline Duration `json:"deadline" validate:"deadline"`
	// Idempotent lists the requests that may run more than once.
	Idempotent []RequestRule `json:"idempotent" validate:"dive"`
	// Shed is how a target signals that it did not run a request; zero if it never does.
	Shed Signal `json:"shed" validate:"omitempty"`
	// Drain is how a target signals that it is leaving; zero if it never does.
	Drain Signal `json:"drain" validate:"omitempty"`
	// HealthPath responds with 200 while a target considers itself healthy; empty for none.
	HealthPath string `json:"health_path,omitempty" validate:"omitempty,startswith=/"`
	// LoadPath responds with the target's load report; empty for none.
	LoadPath string `json:"load_path,omitempty" validate:"omitempty,startswith=/"`
	// Detection trades detection time against false ejections; zero for the default.
	Detection Detection `json:"detection" validate:"omitempty"`
	Targets   []Target  `json:"targets" validate:"required,min=1,dive"`
}

// Detection sets the trade-off between detection time and false ejections.
type Detection struct {
	// FalseEjectionsPerTargetMonth is the accepted rate of ejections of a healthy target.
	FalseEjectionsPerTargetMonth float64 `json:"false_ejections_per_target_month" validate:"gt=0,lte=1000"`
}

// RequestRule matches requests by method and path prefix.
type RequestRule struct {
	Method     string `json:"method" validate:"oneof=GET HEAD OPTIONS PUT DELETE POST PATCH"`
	PathPrefix string `json:"path_prefix" validate:"startswith=/"`
}

// Signal is a response status together with a header field that must be present.
type Signal struct {
	Status int    `json:"status" validate:"min=400,max=599"`
	Header string `json:"header" validate:"headername"`
}

// Target is one upstream process.
type Target struct {
	Name string `json:"name" validate:"name"`
	// Address is "IP:port".
	Address string `json:"address" validate:"ipport"`
	Zone    string `json:"zone" validate:"name"`
	// Leaving is true when the target is being removed.
	Leaving bool `json:"leaving,omitempty"`
}

// Route sends the requests of a host under a path prefix to a service.
type Route struct {
	Host       string `json:"host" validate:"routehost"`
	PathPrefix string `json:"path_prefix" validate:"startswith=/"`
	Service    string `json:"service" validate:"required"`
}

// Template defines the services and limits of each customer that uses it.
type Template struct {
	Name       string      `json:"name" validate:"name"`
	Parameters []Parameter `json:"parameters" validate:"dive"`
	// Services lists the services that its customers may use.
	Services []string `json:"services" validate:"required,min=1,unique"`
	// Limits holds a number, or a reference such as "${rate}", for each limit.
	Limits TemplateLimits `json:"limits"`
}

// Parameter is a typed value that each customer may set.
type Parameter struct {
	Name string `json:"name" validate:"parametername"`
	// Type is "number", "integer" or "duration".
	Type string `json:"type" validate:"oneof=number integer duration"`
	// Default applies when a customer does not set the parameter; required when nil.
	Default json.RawMessage `json:"default,omitempty"`
	Minimum json.RawMessage `json:"minimum,omitempty"`
	Maximum json.RawMessage `json:"maximum,omitempty"`
}

// TemplateLimits are the limits of a template before its parameters are filled in.
type TemplateLimits struct {
	// Rate is in requests a second over the whole fleet.
	Rate json.RawMessage `json:"rate" validate:"required"`
	// Burst is in requests.
	Burst json.RawMessage `json:"burst" validate:"required"`
	// Concurrency is the number of requests in progress over the whole fleet.
	Concurrency json.RawMessage `json:"concurrency" validate:"required"`
	// Queue is the number of requests that may wait on one VM.
	Queue json.RawMessage `json:"queue" validate:"required"`
	// Deadline applies to a request whose caller sets none.
	Deadline json.RawMessage `json:"deadline" validate:"required"`
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio json.RawMessage `json:"retry_ratio" validate:"required"`
	// Weight is the customer's share when customers compete.
	Weight json.RawMessage `json:"weight" validate:"required"`
}

// Customer is one customer of a template.
type Customer struct {
	Name       string                     `json:"name" validate:"name"`
	Template   string                     `json:"template" validate:"required"`
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	// CredentialDigests are the SHA-256 digests, in hex, of the customer's credentials.
	CredentialDigests []string `json:"credential_digests" validate:"required,min=1,max=16,unique,dive,sha256"`
}

// Limits are the limits of one customer after its parameters are filled in.
type Limits struct {
	Rate        float64  `json:"rate" validate:"gt=0,lte=1000000"`
	Burst       float64  `json:"burst" validate:"gte=1,lte=1000000"`
	Concurrency int      `json:"concurrency" validate:"min=1,max=1000000"`
	Queue       int      `json:"queue" validate:"min=0,max=100000"`
	Deadline    Duration `json:"deadline" validate:"deadline"`
	RetryRatio  float64  `json:"retry_ratio" validate:"gte=0,lte=1"`
	Weight      float64  `json:"weight" validate:"gt=0,lte=1000"`
}
