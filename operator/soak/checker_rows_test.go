package soak

import (
	"testing"
	"time"
)

// TestCheckerDetectsRowsThatAPlannedStopCuts gives the checker a row of requests of which the first
// has a response when the connection ends. It guards against a stop that leaves requests in a row
// without a response, and against findings for rows that were not read or that others ended.
func TestCheckerDetectsRowsThatAPlannedStopCuts(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// The daemon gets SIGTERM at 20 s; the row is sent at 22 s and ends at 24 s.
	for _, c := range []struct {
		name   string
		change func(row *rowRecord, k *checker)
		broken bool
	}{
		{"one response of three", func(*rowRecord, *checker) {}, true},
		{"no response, the first has run", func(row *rowRecord, k *checker) {
			row.answered = 0
			k.recordRun(run{requestID: "a", target: "t", at: at(22.1)})
		}, true},
		{"cut at the end of the grace, not begun", func(row *rowRecord, _ *checker) { row.sentAt, row.endedAt = at(22.9), at(25.6) }, true},
		{"cut at the end of the grace, sent late, a target works on the second", func(row *rowRecord, k *checker) {
			row.sentAt, row.endedAt = at(23.1), at(25.6)
			k.recordExecution(execution{run: run{requestID: "b", target: "t", at: at(24.8)}, endedAt: at(25.6), senderLeft: true, undisturbed: true})
		}, true},
		{"cut at the end of the grace, sent in time, a target works on the second", func(row *rowRecord, k *checker) {
			row.sentAt, row.endedAt = at(22.9), at(25.6)
			k.recordExecution(execution{run: run{requestID: "b", target: "t", at: at(24.8)}, endedAt: at(25.6), senderLeft: true, undisturbed: true})
		}, false},
		{"all answered", func(row *rowRecord, _ *checker) { row.answered = 3 }, false},
		{"nothing was read", func(row *rowRecord, _ *checker) { row.answered = 0 }, false},
		{"sent as the connection was closed", func(row *rowRecord, _ *checker) { row.sentAt = at(23.8) }, false},
		{"no stop", func(row *rowRecord, _ *checker) { row.vm = 1 }, false},
		{"daemon is disturbed", func(_ *rowRecord, k *checker) { k.recordDisturbance(0, at(23), at(24)) }, false},
		{"the second ran at a faulty target", func(_ *rowRecord, k *checker) {
			k.recordRun(run{requestID: "b", target: "t", at: at(23), targetFaulty: true})
		}, false},
	} {
		k := newChecker(start)
		k.recordEndOfFaults(at(30))
		k.recordRequest(servedAfterFaults(at(40)))
		k.recordStop(0, at(20), at(25.7))
		row := rowRecord{requests: []string{"a", "b", "c"}, answered: 1, sentAt: at(22), endedAt: at(24)}
		c.change(&row, k)
		k.recordRow(row)
		got := k.check(true)
		if c.broken && (len(got) != 1 || got[0].Promise != PromisePlannedStop) || !c.broken && len(got) > 0 {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
