package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validSettings = `{
  "fleet": "sooja-vee", "vm": "vm-1", "zone": "ee-a", "region": "ee",
  "listen": {"callers": "127.0.0.1:8001", "peers": "127.0.0.1:8002", "admin": "127.0.0.1:8003"},
  "platform": ["127.0.0.1:7000"],
  "tls": {"off": true}
}`

func TestParseFillsInDefaults(t *testing.T) {
	set, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if set.Limits != Default().Limits || set.Stop.Linger.Std() != 15*time.Second {
		t.Errorf("the defaults are missing: %+v", set)
	}
}

func TestParseNamesPathValueAndWhatIsAllowed(t *testing.T) {
	tests := []struct {
		name, old, replacement, path, allowed string
	}{
		{"unknown field", `"tls"`, `"tsl"`, "tsl", "one of the fields"},
		{"unknown inner field", `"off": true`, `"of": true`, "tls.of", "one of the fields"},
		{"host name for an address", `"127.0.0.1:7000"`, `"platform:7000"`, "platform[0]", "IP:port"},
		{"no port", `"127.0.0.1:8001"`, `"127.0.0.1"`, "listen.callers", "IP:port"},
		{"port 0", `"127.0.0.1:8001"`, `"127.0.0.1:0"`, "listen.callers", "IP:port"},
		{"clashing listeners", `"127.0.0.1:8002"`, `"127.0.0.1:8001"`, "listen.peers", "listen.callers"},
		{"upper-case name", `"vm-1"`, `"VM 1"`, "vm", "lower-case"},
		{"missing name", `"vm": "vm-1",`, ``, "vm", "a value"},
		{"duration without unit", `"tls"`, `"stop": {"grace": "10"}, "tls"`, "stop.grace", "unit"},
		{"duration as a number", `"tls"`, `"stop": {"grace": 10}, "tls"`, "stop.grace", "unit"},
		{"duration out of range", `"tls"`, `"stop": {"grace": "2h"}, "tls"`, "stop.grace", "at most"},
		{"string for a number", `"tls"`, `"limits": {"header_bytes": "big"}, "tls"`, "limits.header_bytes", "int"},
		{"keys missing", `{"off": true}`, `{"off": false}`, "tls.certificate_file", "tls.off"},
		{"array for an object", `{"off": true}`, `[]`, "tls", "object"},
		{"unknown log level", `"tls"`, `"log_level": "loud", "tls"`, "log_level", "debug"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, test.old, test.replacement, 1)
			_, err := Parse([]byte(text))
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("error %v, want problems", err)
			}
			for _, problem := range problems {
				if problem.Path == test.path && strings.Contains(problem.Allowed, test.allowed) {
					return
				}
			}
			t.Errorf("no problem at %s that allows %q in:\n%v", test.path, test.allowed, problems)
		})
	}
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	_, err := Parse([]byte(`{"vm": "V", "colour": 1, "listen": {"callers": "x"}}`))
	var problems Problems
	if !errors.As(err, &problems) {
		t.Fatalf("error %v, want problems", err)
	}
	found := make(map[string]bool)
	for _, problem := range problems {
		found[problem.Path] = true
	}
	for _, path := range []string{"vm", "colour", "listen.callers", "listen.peers", "fleet", "zone", "region", "platform"} {
		if !found[path] {
			t.Errorf("no problem at %s in:\n%v", path, problems)
		}
	}
}

func TestParseRejectsInputThatIsNotOneObject(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "null null", validSettings + validSettings} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%.20q was accepted", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": null, "platform": [1]}`))
	f.Add([]byte(`{"limits": {"header_timeout": "-1s"}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		set, err := Parse(content)
		if err == nil && (set.VM == "" || len(set.Platform) == 0) {
			t.Errorf("settings without a name or a platform were accepted: %q", content)
		}
	})
}
