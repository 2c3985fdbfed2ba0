package routing

import (
	"math"
	"testing"
	"time"
)

func document(routes ...Route) Document {
	return Document{
		Version:  7,
		Services: []Service{{Name: "berth"}, {Name: "manifest"}},
		Routes:   routes,
	}
}

func route(name, host, prefix string, split ...Share) Route {
	if len(split) == 0 {
		split = []Share{{Service: "berth", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Split: split}
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table, err := Compile(document(
		route("root", "a.example", "/"),
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other", "b.example", "/x/y/z/"),
	))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z/1", "long"},
		{"A.Example:8144", "/x/yy", "short"},
		{"a.example", "/x", "root"},
		{"b.example", "/x/y/z/1", "other"},
		{"b.example", "/x/y/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if found, ok := table.Match(c.host, c.path); ok {
			got = found.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestCompileRejectsInvalidRoutes(t *testing.T) {
	for name, bad := range map[string]Route{
		"prefix without slash": route("r", "a.example", "x/"),
		"open prefix":          route("r", "a.example", "/x"),
		"unknown service":      route("r", "a.example", "/x/", Share{Service: "nowhere", Weight: 1}),
		"negative weight":      route("r", "a.example", "/x/", Share{Service: "berth", Weight: -1}),
		"no weight":            route("r", "a.example", "/x/", Share{Service: "berth"}),
		"infinite weights":     route("r", "a.example", "/x/", Share{Service: "berth", Weight: 1.7e308}, Share{Service: "manifest", Weight: 1.7e308}),
		"weight not a number":  route("r", "a.example", "/x/", Share{Service: "berth", Weight: math.NaN()}),
		"no service":           {Name: "r", Host: "a.example", Prefix: "/x/"},
	} {
		if _, err := Compile(document(bad)); err == nil {
			t.Errorf("%s: compiled", name)
		}
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := route("r", "a.example", "/", Share{Service: "berth", Weight: 90}, Share{Service: "manifest", Weight: 10})
	const steps = 1000
	counts := make(map[string]int)
	for i := range steps {
		counts[r.Pick(float64(i)/steps)]++
	}
	if math.Abs(float64(counts["manifest"])/steps-0.1) > 0.002 {
		t.Errorf("picked %v of %d", counts, steps)
	}
	if got := r.Pick(math.Nextafter(1, 0)); got != "manifest" {
		t.Errorf("last point picked %s", got)
	}
}

// TestPickAvoidsServicesWithoutWeight guards against requests to a service without a weight,
// whose targets may not be ready, when the sum of tiny or huge weights is rounded.
func TestPickAvoidsServicesWithoutWeight(t *testing.T) {
	for _, weight := range []float64{math.SmallestNonzeroFloat64, 1e-300, 1, 1e300, 1.7e308} {
		r := route("r", "a.example", "/", Share{Service: "berth", Weight: weight}, Share{Service: "manifest"})
		for _, point := range []float64{0, 0.3, 0.5, 0.9, math.Nextafter(1, 0)} {
			if got := r.Pick(point); got != "berth" {
				t.Errorf("weight %v, point %v: picked %s", weight, point, got)
			}
		}
	}
}

// TestLongestTimeoutCountsRoutesThatSetNone guards against a limit that is computed from the longest
// time limit of requests and leaves out those of routes without a timeout.
func TestLongestTimeoutCountsRoutesThatSetNone(t *testing.T) {
	const unset = 10 * time.Second
	for _, c := range []struct {
		timeouts []time.Duration
		want     time.Duration
	}{
		{nil, 0},
		{[]time.Duration{time.Second, 3 * time.Second, 2 * time.Second}, 3 * time.Second},
		{[]time.Duration{time.Second, 0}, unset},
		{[]time.Duration{0, 12 * time.Second}, 12 * time.Second},
	} {
		document := Document{Version: 1, Services: []Service{{Name: "s"}}}
		for _, timeout := range c.timeouts {
			document.Routes = append(document.Routes, Route{Host: "a.example", Prefix: "/", Timeout: timeout, Split: []Share{{Service: "s", Weight: 1}}})
		}
		table, err := Compile(document)
		if err != nil {
			t.Fatal(err)
		}
		if got := table.LongestTimeout(unset); got != c.want {
			t.Errorf("timeouts %v: %v, want %v", c.timeouts, got, c.want)
		}
	}
}
