package main

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/routing/review"
	"github.com/primroseloom/primroseloom/operator/exit"
)

// checkFilePath returns the path of a file for tests of the check of published routes.
func checkFilePath(name string) string { return filepath.Join("testdata", "check", name) }

// TestCheckPublishedExitCodes has one case for each exit code and form of the command.
func TestCheckPublishedExitCodes(t *testing.T) {
	inForce, next := checkFilePath("in-force.json"), checkFilePath("next.json")
	faulty, doubtful, set := checkFilePath("faulty.json"), checkFilePath("doubtful.json"), checkFilePath("settings.json")
	truncated := writeTempFile(t, []byte(`{"version": 7, "hosts": [`))
	invalidSettings := writeTempFile(t, []byte(`{"vm": "V"}`))
	for _, test := range []struct {
		name string
		args []string
		code int
		want []string
	}{
		{"good", []string{"--published", next}, exit.CodeSuccess, []string{"next.json: ok"}},
		{"same version", []string{"--published", next, "--against", next}, exit.CodeSuccess, []string{"ok"}},
		{"changes and bounds", []string{"--published", next, "--against", inForce, "--settings", set}, exit.CodeSuccess, []string{
			"change: routes[look-up]: time limit from 3s to 2s", "change: customers[tallinn]: 1 keys added, 1 withdrawn",
			"limit lowered from 10/s with a burst of 20 to 4/s", "bound: 1 withdrawn keys: no VM serves them later than 5s",
			"bound: customers[tallinn]: at most 70 requests run in any 5s",
		}},
		{"warnings only", []string{"--published", doubtful}, exit.CodeSuccess, []string{"warning: services[spare]", "warning: tenants[0]: an unknown field"}},
		{"errors", []string{"--published", faulty}, exit.CodeFailure, []string{
			"error: routes[look-up]: the time limit", "error: routes[booking]: route look-up has the same", "error: customers[narva]: all its keys (1)",
		}},
		{"older version", []string{"--published", inForce, "--against", next}, exit.CodeFailure, []string{"error: version: 7 is not over 8"}},
		{"attempts over targets", []string{"--published", next, "--targets", "berth=1"}, exit.CodeFailure, []string{"service berth has 1 targets"}},
		{"quotas over capacity", []string{"--published", next, "--capacity", "berth=1,manifest=2"}, exit.CodeSuccess, []string{"warning: customers: their limits add up to 4/s"}},
		{"truncated", []string{"--published", truncated}, exit.CodeFailure, []string{"error: document: not one JSON value"}},
		{"invalid settings", []string{"--published", next, "--settings", invalidSettings}, exit.CodeFailure, []string{"error: settings.vm"}},
		{"missing file", []string{"--published", "nothing.json"}, exit.CodeUsageError, []string{"nothing.json"}},
		{"missing version in force", []string{"--published", next, "--against", "nothing.json"}, exit.CodeUsageError, []string{"nothing.json"}},
		{"unreadable version in force", []string{"--published", next, "--against", truncated}, exit.CodeUsageError, []string{"decode"}},
		{"missing settings", []string{"--published", next, "--settings", "nothing.json"}, exit.CodeUsageError, []string{"nothing.json"}},
		{"settings without file", []string{"--published", next, "--settings"}, exit.CodeUsageError, []string{"exactly one settings file"}},
		{"file without settings", []string{"--published", next, inForce}, exit.CodeUsageError, []string{"unexpected argument"}},
		{"against alone", []string{"--against", inForce, next}, exit.CodeUsageError, []string{"need --published"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			out, code := run(t, append([]string{"check"}, test.args...)...)
			if code != test.code {
				t.Errorf("code %d, want %d: %s", code, test.code, out)
			}
			for _, want := range test.want {
				if !strings.Contains(out, want) {
					t.Errorf("output %q lacks %q", out, want)
				}
			}
			if strings.Contains(out, "check-key") {
				t.Errorf("output %q holds a key", out)
			}
		})
	}
}

// TestCheckPublishedPrintsJSON guards against a report that programs cannot read.
func TestCheckPublishedPrintsJSON(t *testing.T) {
	out, _ := run(t, "check", "--json", "--published", checkFilePath("faulty.json"), "--against", checkFilePath("in-force.json"))
	var result publishedResult
	line, _, _ := strings.Cut(out, "\n")
	if err := json.Unmarshal([]byte(line), &result); err != nil {
		t.Fatalf("output %q: %v", out, err)
	}
	if result.OK || len(result.Findings) == 0 || len(result.Changes) == 0 || result.Bounds == nil {
		t.Errorf("result %+v", result)
	}
	if first := result.Findings[0]; first.Severity != review.SeverityError || first.Path == "" {
		t.Errorf("first finding %+v", first)
	}
	if strings.Contains(out, "check-key") {
		t.Errorf("output %q holds a key", out)
	}
}

// TestCheckWarnsOfServiceWithoutRoute guards against a warning that fails the check, or is not
// printed.
func TestCheckWarnsOfServiceWithoutRoute(t *testing.T) {
	file := deploymentFile(t, func(d *document.Deployment) {
		for i := range d.Routes {
			d.Routes[i].Service = d.Services[0].Name
		}
	})
	out, code := run(t, "check", file)
	if code != exit.CodeSuccess || !strings.Contains(out, "warning: services[1].name") {
		t.Errorf("code %d, output %q", code, out)
	}
}
