package review

import (
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// Severity tells whether a document should be published as it is.
type Severity string

// The severities.
const (
	// SeverityError marks what does not take effect as it is written.
	SeverityError Severity = "error"
	// SeverityWarning marks what takes effect but is probably not intended.
	SeverityWarning Severity = "warning"
)

// Kind is the class of a finding.
type Kind string

// The kinds of findings.
const (
	// KindInvalid parts are rejected, left out or restricted by VMs.
	KindInvalid Kind = "invalid"
	// KindNeverUsed parts are valid, but no request reaches them.
	KindNeverUsed Kind = "never_used"
	// KindContradiction means limits that exclude one another.
	KindContradiction Kind = "contradiction"
	// KindVersion means a version that VMs do not put in force.
	KindVersion Kind = "version"
)

// Finding is one thing that is wrong or doubtful.
type Finding struct {
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	// Path is the place, such as "routes[look-up]" or "customers[tallinn]".
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// String renders the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Path, f.Reason)
}

// Change is one difference from the version in force.
type Change struct {
	Path string `json:"path"`
	// Text describes the difference, such as "time limit from 3s to 2s".
	Text string `json:"text"`
}

// String renders the change in one line.
func (c Change) String() string { return c.Path + ": " + c.Text }

// Report is the result of a review.
type Report struct {
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
	// Bounds says how soon, and within which limits, VMs apply the changes.
	Bounds []string `json:"bounds"`
}

// HasErrors reports whether a finding is an error.
func (r *Report) HasErrors() bool {
	for _, finding := range r.Findings {
		if finding.Severity == SeverityError {
			return true
		}
	}
	return false
}

// Settings are the settings of VMs that the rules need.
type Settings struct {
	// MemoryBytes is the memory that a VM may use; 0 sets no bound.
	MemoryBytes int64
	// RevokedWithin is the bound after which a withdrawn key is served nowhere; 0 sets no bound.
	RevokedWithin time.Duration
	// QuotaWindow is the time over which a customer's requests are counted; 0 leaves rate
	// limits without effect.
	QuotaWindow time.Duration
	// QuotaOverrun is the share of a limit by which it may be exceeded in a window.
	QuotaOverrun float64
	// QuotaSlack is the number of requests by which it may be exceeded besides.
	QuotaSlack float64
	// RetryRatio is the number of retries allowed for each request.
	RetryRatio float64
	// RetryAllowance is the number of retries allowed in 10 s regardless of the requests.
	RetryAllowance float64
	// HedgingRatio is the number of hedged attempts allowed for each request.
	HedgingRatio float64
}

// Input is what a review reads. Only Document is required.
type Input struct {
	Document routing.Document
	// InForce is the version to compare with.
	InForce *routing.Document
	// Settings are those of the VMs.
	Settings *Settings
	// Targets is the number of targets of services by name; services that are not listed
	// have an unknown number.
	Targets map[string]int
	// Capacity is what services can serve, in requests a second, by name. Sums are checked
	// only when all services of the document are listed.
	Capacity map[string]int
}

// Review checks a document.
func Review(input Input) Report {
	r := reviewer{input: &input, report: Report{Findings: []Finding{}, Changes: []Change{}, Bounds: []string{}}}
	r.checkServices()
	r.checkRoutes()
	r.checkLimits()
	r.checkCustomers()
	r.checkSettings()
	if input.InForce != nil {
		r.compare()
	}
	return r.report
}

// reviewer collects the report of one review.
type reviewer struct {
	input  *Input
	report Report
}

func (r *reviewer) errorf(kind Kind, path, reason string, args ...any) {
	r.add(SeverityError, kind, path, reason, args...)
}

func (r *reviewer) warnf(kind Kind, path, reason string, args ...any) {
	r.add(SeverityWarning, kind, path, reason, args...)
}

func (r *reviewer) add(severity Severity, kind Kind, path, reason string, args ...any) {
	finding := Finding{Severity: severity, Kind: kind, Path: path, Reason: fmt.Sprintf(reason, args...)}
	r.report.Findings = append(r.report.Findings, finding)
}

func (r *reviewer) changef(path, text string, args ...any) {
	r.report.Changes = append(r.report.Changes, Change{Path: path, Text: fmt.Sprintf(text, args...)})
}

func (r *reviewer) boundf(text string, args ...any) {
	r.report.Bounds = append(r.report.Bounds, fmt.Sprintf(text, args...))
}

// routeKey identifies a route in reports: by name or, without one, by host and prefix.
func routeKey(route *routing.Route) string {
	if route.Name != "" {
		return route.Name
	}
	return route.Host + route.Prefix
}

func routePath(route *routing.Route) string { return "routes[" + routeKey(route) + "]" }

func servicePath(name string) string { return "services[" + name + "]" }

func customerPath(name string) string { return "customers[" + name + "]" }
