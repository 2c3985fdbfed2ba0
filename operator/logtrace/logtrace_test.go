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

func TestTraceOfAnUnknownRequestIsEmpty(t *testing.T) {
	lines, err := Trace("a9", []Source{{"vm-1", strings.NewReader(firstVMLog)}})
	if err != nil || len(lines) != 0 {
		t.Errorf("lines %+v, %v", lines, err)
	}
}
