package logtrace

import (
	"strings"
	"testing"
)

const (
	firstVMLog = `time="2026/12/04 04:09:01" level=info msg="routes in force" event=2105 version=1
time="2026/12/04 04:09:03" level=warn msg="target suspected" event=4104 target=t2 failing=0.68
time="2026/12/04 04:09:04" level=info msg="attempt failed" event=5102 request=a1 target=t1 reason=target_reset not_run=false
panic: not a log line
time="2026/12/04 04:09:04" level=info msg="attempt failed" event=5102 request=a2 target=t2 reason=target_reset
time="2026/12/04 04:09:05" level=info msg="target's failure passed on" event=5105 request=a1 tried=t1,t2
time="2026/12/04 04:09:06" level=warn msg="store lost" event=2101
`
	secondVMLog = `time="2026/12/04 04:09:04" level=warn msg="target suspected" event=4104 target=t1 failing=0.68
`
)

func TestTraceJoinsLinesRelatedToARequest(t *testing.T) {
	lines, err := Trace("a1", []Source{{"vm-1", strings.NewReader(firstVMLog)}, {"vm-2", strings.NewReader(secondVMLog)}})
	if err != nil {
		t.Fatal(err)
	}
	want := []struct {
		event  string
		direct bool
	}{{"event=2105", false}, {"event=4104 target=t2", false}, {"event=5102 request=a1", true}, {"event=5105 request=a1", true}}
	if len(lines) != len(want) {
		t.Fatalf("%d lines: %+v", len(lines), lines)
	}
	for i, line := range lines {
		if !strings.Contains(line.Text, want[i].event) || line.Direct != want[i].direct || line.Source != "vm-1" {
			t.Errorf("line %d: %+v, want %+v", i, line, want[i])
		}
	}
}

// TestTraceTellsOfCrashesByTheSameRequest guards against a refused request whose
// cause, crashes reported by other VMs minutes before, can't be found from its id.
func TestTraceTellsOfCrashesByTheSameRequest(t *testing.T) {
	const log = `time="2026/12/04 04:01:00" level=warn msg="target crash recorded" event=5106 fingerprint=1f3a target=t1 reporter=vm-2
time="2026/12/04 04:01:01" level=warn msg="target crash recorded" event=5106 fingerprint=99 target=t1 reporter=vm-2
time="2026/12/04 04:01:02" level=warn msg="request crashes targets" event=5104 fingerprint=1f3a last_target=t3
time="2026/12/04 04:09:00" level=info msg="request not served" event=5101 request=a1 reason=quarantined fingerprint=1f3a
time="2026/12/04 04:09:00" level=info msg="request not served" event=5101 request=a2 reason=quarantined fingerprint=1f3a
`
	lines, err := Trace("a1", []Source{{"vm-1", strings.NewReader(log)}, {"vm-2", strings.NewReader(log[:strings.Index(log, "request=")])}})
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"event=5106 fingerprint=1f3a", "event=5104 fingerprint=1f3a", "request=a1"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines: %+v", len(lines), lines)
	}
	for i, line := range lines {
		if !strings.Contains(line.Text, want[i]) || line.Source != "vm-1" {
			t.Errorf("line %d: %+v, want %s", i, line, want[i])
		}
	}
}

func TestTraceOfAnUnknownRequestIsEmpty(t *testing.T) {
	lines, err := Trace("a9", []Source{{"vm-1", strings.NewReader(firstVMLog)}})
	if err != nil || len(lines) != 0 {
		t.Errorf("lines %+v, %v", lines, err)
	}
}
