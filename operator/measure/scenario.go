package measure

import (
	"bytes"
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// Scenario describes one experiment; docs/SCENARIOS.md explains the fields.
type Scenario struct {
	Name string `json:"name"`
	// About describes the scenario in one sentence.
	About string `json:"about"`
	// Services lists the services to run it for; see ServiceSizes.
	Services []string `json:"services"`
	// Loads lists the offered loads, as shares of the service's capacity.
	Loads []float64 `json:"loads"`
	// Seeds is the number of runs; QuickSeeds applies under --quick.
	Seeds      int `json:"seeds"`
	QuickSeeds int `json:"quick_seeds"`
	// Warmup precedes the timeline; its requests are not counted. 0 means the
	// warm-up of the service or, for the baselines, baselineWarmup.
	Warmup document.Duration `json:"warmup"`
	// Duration is the length of the timeline; QuickDuration applies under --quick.
	Duration      document.Duration `json:"duration"`
	QuickDuration document.Duration `json:"quick_duration"`
	Faults        []Fault           `json:"faults"`
	Customers     []Customer        `json:"customers"`
	// Bounds are the bounds that the results of the first policy must meet.
	Bounds Bounds `json:"bounds"`
	// Baselines runs the baselines too.
	Baselines bool `json:"baselines"`
	// FloorShare is the service's floor as a share of its slots.
	FloorShare float64 `json:"floor_share"`

	// size and load are the service and the load of the current cell.
	size ServiceSize
	load float64
}

// Customer is a source of requests.
type Customer struct {
	Name string `json:"name"`
	// Share is the customer's part of the offered load.
	Share float64 `json:"share"`
	// VMs is the number of VMs that serve the customer; 0 for all.
	VMs int `json:"vms"`
	// IdempotentShare is the share of requests that may run twice.
	IdempotentShare float64 `json:"idempotent_share"`
	// Rate, in requests per second, and Burst, in requests, are the customer's rate
	// limit, divided among the VMs that serve it. Rate 0 disables all of the
	// customer's limits.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Concurrency limits the requests in progress, including waiting ones, and Queue
	// the waiting ones on each VM. Both are ignored when Rate is 0; with a Rate,
	// Concurrency 0 refuses every request.
	Concurrency int     `json:"concurrency"`
	Queue       int     `json:"queue"`
	Weight      float64 `json:"weight"`
	// Small marks the customers whose latency is compared with and without the others.
	Small bool `json:"small"`
}

// Bounds are limits on a scenario's result; a nil field is not checked.
type Bounds struct {
	DetectionP50 *document.Duration `json:"detection_p50,omitempty"`
	DetectionP99 *document.Duration `json:"detection_p99,omitempty"`
	// Patience multiplies the detection bounds of services that are Patient.
	Patience float64 `json:"patience,omitempty"`
	// Ahead is the minimum ratio of the better baseline's detection p50 to the
	// result's.
	Ahead float64 `json:"ahead,omitempty"`
	// FalseEjections is the maximum number of ejections of a healthy target.
	FalseEjections *int `json:"false_ejections,omitempty"`
	// AttemptsPerRequest limits the attempts per request, and thereby the retries.
	AttemptsPerRequest float64 `json:"attempts_per_request,omitempty"`
	// SmallP99Ratio bounds the small customers' p99 against a run without the others.
	SmallP99Ratio float64 `json:"small_p99_ratio,omitempty"`
	// IdealP99Ratio bounds p99 against an ideal single queue.
	IdealP99Ratio float64 `json:"ideal_p99_ratio,omitempty"`
}

// ServiceSize describes the size and the timing of a simulated service.
type ServiceSize struct {
	Name    string
	Targets int
	Slots   int
	VMs     int
	Zones   int
	// MeanTime is the mean service time of a healthy target.
	MeanTime time.Duration
	// Delay is the one-way network delay between VMs and targets and between VMs.
	Delay time.Duration
	// FalseEjectionsPerTargetMonth is the rate of false ejections that the
	// service's detection setting accepts.
	FalseEjectionsPerTargetMonth float64
	// Patient services prefer fewer false ejections to a shorter detection time.
	Patient bool
	// Warmup is the time in which the deciders learn the service times.
	Warmup time.Duration
}

// ServiceSizes returns the four services that scenarios can run for.
func ServiceSizes() []ServiceSize {
	return []ServiceSize{
		{Name: "booking", Targets: 20, Slots: 3, VMs: 34, Zones: 3, MeanTime: 50 * time.Millisecond,
			Delay: 1500 * time.Microsecond, FalseEjectionsPerTargetMonth: 0.01, Patient: true, Warmup: time.Minute},
		{Name: "records", Targets: 6, Slots: 3, VMs: 34, Zones: 3, MeanTime: 80 * time.Millisecond,
			Delay: 1500 * time.Microsecond, FalseEjectionsPerTargetMonth: 0.01, Patient: true, Warmup: 4 * time.Minute},
		{Name: "berth", Targets: 23, Slots: 2, VMs: 34, Zones: 3, MeanTime: 50 * time.Millisecond,
			Delay: time.Millisecond, FalseEjectionsPerTargetMonth: 1, Warmup: time.Minute},
		{Name: "manifest", Targets: 6, Slots: 2, VMs: 34, Zones: 3, MeanTime: 80 * time.Millisecond,
			Delay: time.Millisecond, FalseEjectionsPerTargetMonth: 1, Warmup: 4 * time.Minute},
	}
}

// findServiceSize returns the service of that name.
func findServiceSize(name string) (ServiceSize, error) {
	for _, size := range ServiceSizes() {
		if size.Name == name {
			return size, nil
		}
	}
	return ServiceSize{}, fmt.Errorf("service %q: want booking, records, berth or manifest", name)
}

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// ShippedScenarios returns the scenarios embedded in the program, in order of their file names.
func ShippedScenarios() ([]*Scenario, error) {
	names, err := fs.Glob(scenarioFiles, "scenarios/*.json")
	if err != nil {
		return nil, fmt.Errorf("list scenarios: %w", err)
	}
	scenarios := make([]*Scenario, 0, len(names))
	for _, name := range names {
		content, err := scenarioFiles.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read scenario %s: %w", name, err)
		}
		scenario, err := ParseScenario(content)
		if err != nil {
			return nil, fmt.Errorf("scenario %s: %w", name, err)
		}
		scenarios = append(scenarios, scenario)
	}
	return scenarios, nil
}

// ParseScenario reads a scenario, fills in defaults and validates it.
func ParseScenario(content []byte) (*Scenario, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	scenario := new(Scenario)
	if err := decoder.Decode(scenario); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	scenario.fillDefaults()
	return scenario, scenario.validate()
}

func (s *Scenario) fillDefaults() {
	if len(s.Services) == 0 {
		for _, size := range ServiceSizes() {
			s.Services = append(s.Services, size.Name)
		}
	}
	if len(s.Loads) == 0 {
		s.Loads = []float64{0.7}
	}
	s.Seeds = max(s.Seeds, 1)
	if s.QuickSeeds == 0 {
		s.QuickSeeds = min(s.Seeds, 2)
	}
	if s.QuickDuration == 0 {
		s.QuickDuration = s.Duration
	}
	if s.FloorShare == 0 {
		s.FloorShare = 0.6
	}
	if len(s.Customers) == 0 {
		s.Customers = []Customer{{Name: "all", Share: 1, IdempotentShare: 0.7, Weight: 1}}
	}
	if s.Bounds.Patience == 0 {
		s.Bounds.Patience = 1
	}
}

func (s *Scenario) validate() error {
	var problems []error
	if s.Name == "" {
		problems = append(problems, errors.New("name: must be set"))
	}
	if s.Duration <= 0 || s.Duration.Std() > 31*24*time.Hour {
		problems = append(problems, fmt.Errorf("duration %s: want more than 0 and at most 744h", s.Duration.Std()))
	}
	for _, name := range s.Services {
		if _, err := findServiceSize(name); err != nil {
			problems = append(problems, err)
		}
	}
	for _, load := range s.Loads {
		if load <= 0 || load > 3 {
			problems = append(problems, fmt.Errorf("load %g: want more than 0 and at most 3", load))
		}
	}
	for i := range s.Faults {
		if err := s.Faults[i].validate(); err != nil {
			problems = append(problems, fmt.Errorf("fault %d: %w", i, err))
		}
	}
	return errors.Join(problems...)
}
