package review

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
)

// goodDocument returns a document without findings, with two services, three routes and two
// customers.
func goodDocument() routing.Document {
	share := func(name string) []routing.Share { return []routing.Share{{Service: name, Weight: 1}} }
	return routing.Document{
		Version:  7,
		Services: []routing.Service{{Name: "berth", HealthPath: "/health", MaxConnections: 100}, {Name: "manifest"}},
		Limits:   routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second},
		Routes: []routing.Route{
			{Name: "root", Host: "a.example", Prefix: "/", Kind: routing.KindOnce, Timeout: 3 * time.Second, Objective: time.Second, MaxAttempts: 2, Split: share("berth")},
			{Name: "long", Host: "a.example", Prefix: "/x/", Kind: routing.KindIdempotent, Timeout: 2 * time.Second, MaxAttempts: 3, Split: share("manifest")},
			{Name: "other", Host: "b.example", Prefix: "/x/", Kind: routing.KindDownload, MaxAttempts: 1, Split: share("berth")},
		},
		Customers: []routing.Customer{
			{Name: "tallinn", Keys: keys("secret-1", "secret-2"), Rate: 10, Burst: 20},
			{Name: "narva", Keys: keys("secret-3")},
		},
	}
}

func goodSettings() *Settings {
	return &Settings{
		MemoryBytes: 184_000_000, RevokedWithin: 5 * time.Second,
		QuotaWindow: 5 * time.Second, QuotaOverrun: 0.25, QuotaSlack: 20,
		RetryRatio: 0.2, RetryAllowance: 10, HedgingRatio: 0.02,
	}
}

func keys(texts ...string) []routing.KeyDigest {
	digests := make([]routing.KeyDigest, len(texts))
	for i, text := range texts {
		digests[i] = routing.DigestKey(text)
	}
	return digests
}

// TestReviewAcceptsGoodDocument guards against findings for what is in order.
func TestReviewAcceptsGoodDocument(t *testing.T) {
	same := goodDocument()
	report := Review(Input{
		Document: goodDocument(), InForce: &same, Settings: goodSettings(),
		Targets: map[string]int{"berth": 3, "manifest": 3}, Capacity: map[string]int{"berth": 5, "manifest": 5},
	})
	if len(report.Findings)+len(report.Changes)+len(report.Bounds) != 0 || report.HasErrors() {
		t.Errorf("report %+v", report)
	}
}

// TestReviewFindsEachFault has one case for each rule.
func TestReviewFindsEachFault(t *testing.T) {
	const isError, isWarning = SeverityError, SeverityWarning
	tests := []struct {
		name     string
		change   func(in *Input)
		severity Severity
		kind     Kind
		path     string
		reason   string
	}{
		{"service without name", func(in *Input) { in.Document.Services = append(in.Document.Services, routing.Service{}) }, isError, KindInvalid, "services[]", "name is missing"},
		{"service defined twice", func(in *Input) {
			in.Document.Services = append(in.Document.Services, routing.Service{Name: "berth"})
		}, isError, KindNeverUsed, "services[berth]", "more than once"},
		{"service without route", func(in *Input) {
			in.Document.Services = append(in.Document.Services, routing.Service{Name: "spare"})
		}, isWarning, KindNeverUsed, "services[spare]", "no route"},
		{"negative connections", func(in *Input) { in.Document.Services[0].MaxConnections = -1 }, isError, KindInvalid, "services[berth]", "negative"},
		{"unknown service", func(in *Input) { in.Document.Routes[0].Split[0].Service = "nowhere" }, isError, KindInvalid, "routes[root]", "unknown service"},
		{"prefix without slash", func(in *Input) { in.Document.Routes[1].Prefix = "/x" }, isError, KindInvalid, "routes[long]", "slash"},
		{"negative weight", func(in *Input) { in.Document.Routes[1].Split[0].Weight = -1 }, isError, KindInvalid, "routes[long]", "negative"},
		{"route name used twice", func(in *Input) { in.Document.Routes[2].Name = "root" }, isError, KindInvalid, "routes[root]", "same name"},
		{"same host and prefix", func(in *Input) { in.Document.Routes[1].Prefix = "/" }, isError, KindNeverUsed, "routes[long]", "route root has the same"},
		{"same host in other case", func(in *Input) { in.Document.Routes[2].Host = "A.Example" }, isError, KindNeverUsed, "routes[other]", "route long has the same"},
		{"host missing", func(in *Input) { in.Document.Routes[0].Host = "" }, isError, KindNeverUsed, "routes[root]", "host is missing"},
		{"host with port", func(in *Input) { in.Document.Routes[0].Host = "a.example:80" }, isError, KindNeverUsed, "routes[root]", "has a port"},
		{"time limit under objective", func(in *Input) { in.Document.Routes[0].Timeout = time.Second / 2 }, isError, KindContradiction, "routes[root]", "under the objective"},
		{"negative time limit", func(in *Input) { in.Document.Routes[0].Timeout = -1 }, isError, KindInvalid, "routes[root]", "negative"},
		{"negative objective", func(in *Input) { in.Document.Routes[0].Objective = -1 }, isError, KindInvalid, "routes[root]", "negative"},
		{"negative route priority", func(in *Input) { in.Document.Routes[0].Priority = -1 }, isError, KindInvalid, "routes[root]", "priority"},
		{"attempts over targets", func(in *Input) { in.Targets = map[string]int{"manifest": 2} }, isError, KindContradiction, "routes[long]", "has 2 targets"},
		{"attempts without retries", func(in *Input) { in.Settings.RetryRatio, in.Settings.RetryAllowance = 0, 0 }, isWarning, KindContradiction, "routes[long]", "no retries"},
		{"negative size", func(in *Input) { in.Document.Limits.BodyBytes = -1 }, isError, KindInvalid, "limits", "negative"},
		{"negative time-out", func(in *Input) { in.Document.Limits.IdleTimeout = -1 }, isError, KindInvalid, "limits", "negative"},
		{"body over memory", func(in *Input) { in.Document.Limits.BodyBytes = 1 << 30 }, isError, KindContradiction, "limits", "memory"},
		{"unreadable part", func(in *Input) {
			in.Document.Problems = []routing.Problem{{Path: "customers[1]", Reason: "left out"}}
		}, isError, KindInvalid, "customers[1]", "left out"},
		{"customer without name", func(in *Input) { in.Document.Customers[0].Name = "" }, isError, KindInvalid, "customers[]", "name is missing"},
		{"customer named twice", func(in *Input) { in.Document.Customers[1].Name = "tallinn" }, isError, KindInvalid, "customers[tallinn]", "same name"},
		{"empty key", func(in *Input) { in.Document.Customers[1].Keys = keys("") }, isError, KindInvalid, "customers[narva]", "key is empty"},
		{"key of another", func(in *Input) { in.Document.Customers[1].Keys = keys("secret-2", "secret-4") }, isError, KindInvalid, "customers[narva]", "same key"},
		{"all keys of another", func(in *Input) { in.Document.Customers[1].Keys = keys("secret-2", "secret-1") }, isError, KindNeverUsed, "customers[narva]", "all its keys (2)"},
		{"customer without key", func(in *Input) { in.Document.Customers[1].Keys = nil }, isWarning, KindNeverUsed, "customers[narva]", "no key"},
		{"empty list of customers", func(in *Input) { in.Document.Customers = []routing.Customer{} }, isWarning, KindNeverUsed, "customers", "no key is valid"},
		{"negative rate", func(in *Input) { in.Document.Customers[0].Rate = -1 }, isError, KindInvalid, "customers[tallinn]", "negative"},
		{"negative customer priority", func(in *Input) {
			in.Document.Customers[0].Priority, in.Document.Customers[0].HasPriority = -1, true
		}, isError, KindInvalid, "customers[tallinn]", "priority"},
		{"burst under one request", func(in *Input) { in.Document.Customers[0].Burst = 0.5 }, isError, KindContradiction, "customers[tallinn]", "under one request"},
		{"burst without rate", func(in *Input) { in.Document.Customers[1].Burst = 5 }, isWarning, KindContradiction, "customers[narva]", "no effect"},
		{"quotas over capacity", func(in *Input) { in.Capacity = map[string]int{"berth": 4, "manifest": 5} }, isWarning, KindContradiction, "customers", "add up to 10/s"},
		{"hedging over retries", func(in *Input) { in.Settings.HedgingRatio = 0.3 }, isWarning, KindContradiction, "settings.hedging.ratio", "retry ratio"},
		{"short revocation bound", func(in *Input) { in.Settings.RevokedWithin = time.Second }, isWarning, KindContradiction, "settings.keys.revoked_within", "under 5s"},
		{"no revocation bound", func(in *Input) { in.Settings.RevokedWithin = 0 }, isWarning, KindContradiction, "settings.keys.revoked_within", "no bound"},
		{"quotas off", func(in *Input) { in.Settings.QuotaWindow = 0 }, isWarning, KindContradiction, "settings.quotas.window", "1 customers"},
		{"older version", func(in *Input) { in.InForce.Version = 8 }, isError, KindVersion, "version", "not over 8"},
		{"other content in the same version", func(in *Input) { in.InForce.Limits.BodyBytes = 1 }, isError, KindVersion, "version", "not over 7"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inForce := goodDocument()
			in := Input{Document: goodDocument(), Settings: goodSettings(), InForce: &inForce}
			// Changes of the document need a higher version than the one in force.
			if !strings.Contains(test.name, "version") {
				in.Document.Version++
			}
			test.change(&in)
			report := Review(in)
			matches := func(f Finding) bool {
				return f.Severity == test.severity && f.Kind == test.kind && f.Path == test.path && strings.Contains(f.Reason, test.reason)
			}
			if !slices.ContainsFunc(report.Findings, matches) {
				t.Errorf("findings %v, want %s %s at %s with %q", report.Findings, test.severity, test.kind, test.path, test.reason)
			}
			if report.HasErrors() != (test.severity == SeverityError) {
				t.Errorf("HasErrors %v: %v", report.HasErrors(), report.Findings)
			}
		})
	}
}

// TestReviewReportsAllFaultsAtOnce guards against a stop at the first fault.
func TestReviewReportsAllFaultsAtOnce(t *testing.T) {
	document := goodDocument()
	for i := range document.Routes {
		document.Routes[i].Split[0].Service = "nowhere"
	}
	for i := range document.Customers {
		document.Customers[i].Rate = -1
	}
	failures := 0
	for _, finding := range Review(Input{Document: document}).Findings {
		if finding.Severity == SeverityError {
			failures++
		}
	}
	if failures != 5 {
		t.Errorf("%d errors, want 5", failures)
	}
}

// TestCompareReportsEachDifference has one case for each kind of change.
func TestCompareReportsEachDifference(t *testing.T) {
	tests := []struct {
		name   string
		change func(next *routing.Document)
		want   []string
		bounds []string
	}{
		{"nothing", func(*routing.Document) {}, nil, nil},
		{"service added", func(d *routing.Document) { d.Services = append(d.Services, routing.Service{Name: "spare"}) }, []string{"services[spare]: added"}, nil},
		{"service dropped", func(d *routing.Document) { d.Services = d.Services[:1] }, []string{"services[manifest]: dropped"}, nil},
		{"service changed", func(d *routing.Document) { d.Services[0].HealthPath, d.Services[0].MaxConnections = "/ok", 50 }, []string{"services[berth]: health path from /health to /ok", "services[berth]: connections of a target from 100 to 50"}, nil},
		{"route added", func(d *routing.Document) {
			d.Routes = append(d.Routes, routing.Route{Name: "new", Host: "c.example", Prefix: "/", Split: []routing.Share{{Service: "berth", Weight: 9}, {Service: "manifest", Weight: 1}}})
		}, []string{"routes[new]: added: c.example/ to berth (9), manifest (1)"}, nil},
		{"route dropped", func(d *routing.Document) { d.Routes = d.Routes[:2] }, []string{"routes[other]: dropped: b.example/x/"}, nil},
		{"route moved", func(d *routing.Document) { d.Routes[1].Split = []routing.Share{{Service: "berth", Weight: 1}} }, []string{"routes[long]: moved from manifest to berth"}, nil},
		{"route at another place", func(d *routing.Document) { d.Routes[1].Prefix = "/y/" }, []string{"routes[long]: place from a.example/x/ to a.example/y/"}, nil},
		{"route limits", func(d *routing.Document) {
			r := &d.Routes[0]
			r.Kind, r.Timeout, r.Objective, r.Priority, r.MaxAttempts, r.Public = routing.KindUpload, 2*time.Second, 2*time.Second, 1, 1, true
		}, []string{
			"routes[root]: kind from once to upload", "routes[root]: time limit from 3s to 2s", "routes[root]: objective from 1s to 2s",
			"routes[root]: priority from 0 to 1", "routes[root]: attempts from 2 to 1", "routes[root]: callers need no key any more",
		}, nil},
		{"limits", func(d *routing.Document) { d.Limits.BodyBytes = 1000 }, []string{"limits: body size from 1048576 to 1000"}, nil},
		{"customer added", func(d *routing.Document) {
			d.Customers = append(d.Customers, routing.Customer{Name: "new", Keys: keys("secret-9")})
		}, []string{"customers[new]: added, with 1 keys"}, nil},
		{"customer dropped", func(d *routing.Document) { d.Customers = d.Customers[1:] }, []string{"customers[tallinn]: dropped, with 2 keys"}, []string{"2 withdrawn keys: no VM serves them later than 5s after the store confirmed this version"}},
		{"keys exchanged", func(d *routing.Document) { d.Customers[0].Keys = keys("secret-2", "secret-8", "secret-9") }, []string{"customers[tallinn]: 2 keys added, 1 withdrawn"}, []string{"1 withdrawn keys: no VM serves them later than 5s after the store confirmed this version"}},
		{"key moved to another customer", func(d *routing.Document) {
			d.Customers[0].Keys, d.Customers[1].Keys = keys("secret-1"), keys("secret-3", "secret-2")
		}, []string{"customers[tallinn]: 0 keys added, 1 withdrawn", "customers[narva]: 1 keys added, 0 withdrawn"}, nil},
		{"limit lowered", func(d *routing.Document) { d.Customers[0].Rate = 4 }, []string{"customers[tallinn]: limit lowered from 10/s with a burst of 20 to 4/s with a burst of 20"}, []string{"customers[tallinn]: at most 70 requests run in any 5s"}},
		{"limit raised", func(d *routing.Document) { d.Customers[0].Rate, d.Customers[0].Burst = 0, 0 }, []string{"customers[tallinn]: limit raised from 10/s with a burst of 20 to none"}, nil},
		{"limit set", func(d *routing.Document) { d.Customers[1].Rate, d.Customers[1].Burst = 8, 8 }, []string{"customers[narva]: limit lowered from none to 8/s with a burst of 8"}, []string{"customers[narva]: at most 80 requests run in any 5s"}},
		{"customer priority", func(d *routing.Document) { d.Customers[0].HasPriority = true }, []string{"customers[tallinn]: priority from that of the route to 0"}, nil},
		{"no customers", func(d *routing.Document) { d.Customers = nil }, []string{"customers: callers need no key any more", "customers[tallinn]: dropped, with 2 keys", "customers[narva]: dropped, with 1 keys"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			old, next := goodDocument(), goodDocument()
			next.Version++
			test.change(&next)
			report := Review(Input{Document: next, InForce: &old, Settings: goodSettings()})
			var got []string
			for _, change := range report.Changes {
				got = append(got, change.String())
			}
			if !slices.Equal(got, test.want) || !slices.Equal(report.Bounds, test.bounds) {
				t.Errorf("changes %q\nwant    %q\nbounds %q\nwant   %q", got, test.want, report.Bounds, test.bounds)
			}
		})
	}
}

// TestReportHoldsNoDigest guards against digests of keys in reports.
func TestReportHoldsNoDigest(t *testing.T) {
	old, next := goodDocument(), goodDocument()
	next.Customers[0].Keys = keys("secret-3", "secret-5", "")
	text, err := json.Marshal(Review(Input{Document: next, InForce: &old, Settings: goodSettings()}))
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"secret-1", "secret-2", "secret-3", "secret-5"} {
		if strings.Contains(string(text), fmt.Sprintf("%x", routing.DigestKey(key))) {
			t.Errorf("the report holds the digest of %s", key)
		}
	}
}
