// Package document defines the JSON documents that operators write and the
// values that the platform publishes.
//
// An operator writes a Deployment: services with their targets, routes,
// customer templates and customers. It is rendered into one Root and a number
// of Shards. The root names its shards by digest, so a reader can verify a
// shard whoever handed it over.
package document

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written as a JSON string such as "250ms".
type Duration time.Duration

// Std returns the standard library's form.
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
	Services  []Service  `json:"services"`
	Routes    []Route    `json:"routes"`
	Templates []Template `json:"templates"`
	Customers []Customer `json:"customers"`
}

// Service is a group of targets that run the same requests.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests a target runs at a time.
	Slots int `json:"slots"`
	// MaxConnections is the number of connections a target accepts from the whole fleet.
	MaxConnections int `json:"max_connections"`
	// FloorSlots is the healthy capacity that ejection must leave, in slots.
	FloorSlots int `json:"floor_slots"`
	// Deadline bounds a request whose caller and template state none.
	Deadline Duration `json:"deadline"`
	// Idempotent lists the requests that may run twice.
	Idempotent []RequestRule `json:"idempotent"`
	// Shed is how a target says that it did not run a request.
	Shed Signal `json:"shed"`
	// Drain is how a target says that it is leaving.
	Drain Signal `json:"drain"`
	// HealthPath answers 200 while a target believes itself healthy; empty for none.
	HealthPath string `json:"health_path,omitempty"`
	// LoadPath answers the target's load report; empty for none.
	LoadPath string `json:"load_path,omitempty"`
	// Detection trades detection time against false ejections.
	Detection Detection `json:"detection"`
	Targets   []Target  `json:"targets"`
}

// Detection sets the trade between detection time and false ejections.
type Detection struct {
	// FalseEjectionsPerTargetMonth is the accepted rate of ejections of a healthy target.
	FalseEjectionsPerTargetMonth float64 `json:"false_ejections_per_target_month"`
}

// RequestRule matches requests by method and path prefix.
type RequestRule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// Signal is a status together with a header field that must be present.
type Signal struct {
	Status int    `json:"status"`
	Header string `json:"header"`
}

// Target is one upstream process.
type Target struct {
	Name string `json:"name"`
	// Address is "IP:port".
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Leaving tells that the target is being taken away.
	Leaving bool `json:"leaving,omitempty"`
}

// Route sends the requests of a host under a path prefix to a service.
type Route struct {
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Service    string `json:"service"`
}

// Template states what the fleet promises to each customer that uses it.
type Template struct {
	Name       string      `json:"name"`
	Parameters []Parameter `json:"parameters"`
	// Services lists the services that its customers may use.
	Services []string `json:"services"`
	// Limits holds a number, or a reference such as "${rate}", for each limit.
	Limits TemplateLimits `json:"limits"`
}

// Parameter is a typed value that each customer may set.
type Parameter struct {
	Name string `json:"name"`
	// Type is "number", "integer" or "duration".
	Type string `json:"type"`
	// Default applies when a customer does not set the parameter; required when nil.
	Default json.RawMessage `json:"default,omitempty"`
	Minimum json.RawMessage `json:"minimum,omitempty"`
	Maximum json.RawMessage `json:"maximum,omitempty"`
}

// TemplateLimits are the limits of a template before its parameters are filled in.
type TemplateLimits struct {
	// Rate is in requests a second over the whole fleet.
	Rate json.RawMessage `json:"rate"`
	// Burst is in requests.
	Burst json.RawMessage `json:"burst"`
	// Concurrency is the number of requests in progress over the whole fleet.
	Concurrency json.RawMessage `json:"concurrency"`
	// Queue is the number of requests that may wait on one VM.
	Queue json.RawMessage `json:"queue"`
	// Deadline bounds a request whose caller states none.
	Deadline json.RawMessage `json:"deadline"`
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio json.RawMessage `json:"retry_ratio"`
	// Weight is the customer's share when customers compete.
	Weight json.RawMessage `json:"weight"`
}

// Customer is one customer of a template.
type Customer struct {
	Name       string                     `json:"name"`
	Template   string                     `json:"template"`
	Parameters map[string]json.RawMessage `json:"parameters,omitempty"`
	// CredentialDigests are the SHA-256 digests, in hex, of the customer's credentials.
	CredentialDigests []string `json:"credential_digests"`
}

// Limits are the limits of one customer after its parameters are filled in.
type Limits struct {
	Rate        float64  `json:"rate"`
	Burst       float64  `json:"burst"`
	Concurrency int      `json:"concurrency"`
	Queue       int      `json:"queue"`
	Deadline    Duration `json:"deadline"`
	RetryRatio  float64  `json:"retry_ratio"`
	Weight      float64  `json:"weight"`
}

// Root names everything that is in force at a generation.
type Root struct {
	// Generation grows with each publication and never repeats.
	Generation uint64     `json:"generation"`
	Shards     []ShardRef `json:"shards"`
}

// ShardRef names a shard by the SHA-256 digest of its content.
type ShardRef struct {
	Kind   ShardKind `json:"kind"`
	Index  int       `json:"index"`
	Digest string    `json:"digest"`
	// Size is in bytes.
	Size int `json:"size"`
}

// ShardKind tells what a shard holds.
type ShardKind string

// The kinds of shards.
const (
	ShardServices  ShardKind = "services"
	ShardRoutes    ShardKind = "routes"
	ShardTemplates ShardKind = "templates"
	ShardCustomers ShardKind = "customers"
)

// Shard is the content of one published shard; one field is set, by its kind.
type Shard struct {
	Services  []Service  `json:"services,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	Templates []Template `json:"templates,omitempty"`
	Customers []Customer `json:"customers,omitempty"`
}

// MaxValueBytes is the largest value the platform holds.
const MaxValueBytes = 1 << 20

// Keys of the platform's values. A shard's key is ShardKeyPrefix and its digest.
const (
	RootKey        = "primroseloom/root"
	ShardKeyPrefix = "primroseloom/shard/"
	VMListKey      = "primroseloom/vms"
)

// VMList is the platform's lagging list of VMs.
type VMList struct {
	Entries []VMEntry `json:"entries"`
}

// VMEntry is one row of the VM list, for an entry VM or a target's VM.
type VMEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving,omitempty"`
}
