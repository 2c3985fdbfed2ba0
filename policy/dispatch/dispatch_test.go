package dispatch

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/policy/outcome"
)

func TestParseKey(t *testing.T) {
	key, err := ParseKey("vm-3.ff01.12.order.77")
	want := Key{VM: "vm-3", Instance: 0xff01, Window: 12, CallerPart: "order.77"}
	if err != nil || key != want || key.String() != "vm-3.ff01.12.order.77" {
		t.Errorf("got %+v, %v", key, err)
	}
	for _, text := range []string{"", "a.b.c", "VM.1.2.x", "vm.xyz.2.x", "vm.1.-2.x", "vm.1.2.", "vm.1.99999999999999999999.x"} {
		if _, err := ParseKey(text); err == nil {
			t.Errorf("malformed key %q was accepted", text)
		}
	}
}

func TestWindowStateAt(t *testing.T) {
	cases := []struct {
		window uint64
		uptime time.Duration
		want   WindowState
	}{
		{0, 0, WindowOpen},
		{0, 2*WindowLength - 1, WindowOpen},
		{0, 2 * WindowLength, WindowClosed},
		{1, 0, WindowOpen},
		{2, 0, WindowUnknown},
		{^uint64(0), time.Hour, WindowUnknown},
	}
	for _, c := range cases {
		if got := WindowStateAt(c.window, c.uptime); got != c.want {
			t.Errorf("window %d at %s: %d, want %d", c.window, c.uptime, got, c.want)
		}
	}
}

func TestEvaluateFailure(t *testing.T) {
	base := FailedAttempt{Replayable: true, Sends: 1, Remaining: time.Second}
	with := func(change func(*FailedAttempt)) FailedAttempt { f := base; change(&f); return f }
	cases := []struct {
		name    string
		failed  FailedAttempt
		outcome outcome.Outcome
		retry   bool
	}{
		{"connect refused", with(func(f *FailedAttempt) { f.Failure = FailureConnect }), outcome.NotRun, true},
		{"reset, not idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written = FailureReset, true }), outcome.MayHaveRun, false},
		{"reset, idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written, f.Idempotent = FailureReset, true, true }), outcome.MayHaveRun, true},
		{"stall of a suspect, idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written, f.Idempotent, f.Suspect = FailureStall, true, true, true }), outcome.MayHaveRun, false},
		{"crash, idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written, f.Idempotent = FailureCrash, true, true }), outcome.MayHaveRun, false},
		{"shed, not idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written = FailureShed, true }), outcome.NotRun, true},
		{"shed, body not replayable", with(func(f *FailedAttempt) { f.Failure, f.Written, f.Replayable = FailureShed, true, false }), outcome.NotRun, false},
		{"last attempt", with(func(f *FailedAttempt) { f.Sends = MaxAttempts }), outcome.NotRun, false},
		{"no time left", with(func(f *FailedAttempt) { f.Remaining = 0 }), outcome.NotRun, false},
		{"deadline before write", with(func(f *FailedAttempt) { f.Failure = FailureDeadline }), outcome.NotRun, false},
		{"wrong response, not idempotent", with(func(f *FailedAttempt) { f.Failure, f.Written = FailureWrong, true }), outcome.MayHaveRun, false},
	}
	for _, c := range cases {
		got := Rules{}.EvaluateFailure(c.failed)
		if got.Outcome != c.outcome || got.Retry != c.retry {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	stall := Rules{}.EvaluateFailure(FailedAttempt{Failure: FailureStall, Written: true, Reused: true, Idempotent: true, Replayable: true, Sends: 1, Remaining: time.Second})
	if !stall.SameTarget || !stall.Blameless {
		t.Errorf("stall on a reused connection: %+v", stall)
	}
}

func TestCheckWriteAfterSuspension(t *testing.T) {
	key := &Key{Window: 1}
	check := Rules{}.CheckWrite
	if err := check(key, 70*time.Second, 65*time.Second); err != nil {
		t.Errorf("in time: %v", err)
	}
	if check(nil, 70*time.Second, 95*time.Second) == nil {
		t.Error("deadline passed while suspended, but the write was allowed")
	}
	if check(key, time.Hour, 3*WindowLength) == nil {
		t.Error("window closed while suspended, but the write was allowed")
	}
}

func TestPauseIsReportedForRequestsReadAfterIt(t *testing.T) {
	var d PauseDetector
	steps := []struct{ uptime, want time.Duration }{
		{time.Hour, 0},
		{time.Hour + PauseInterval, 0},
		{time.Hour + 30*time.Second + PauseInterval, 30 * time.Second},
		{time.Hour + 30*time.Second + 400*time.Millisecond, 30 * time.Second},
		{time.Hour + 30*time.Second + 800*time.Millisecond, 30 * time.Second},
		{time.Hour + 30*time.Second + PauseInterval + PauseBacklogTime, 0},
	}
	for _, s := range steps {
		if got := d.Observe(s.uptime); got != s.want {
			t.Errorf("at %s: %s, want %s", s.uptime, got, s.want)
		}
	}
}

func testID(customer, callerPart string, window uint64) ID {
	return ID{Customer: customer, Service: "booking", Key: Key{VM: "a", Instance: 1, Window: window, CallerPart: callerPart}}
}

func TestFullRecordsRefuseNewKeysAndEvictNone(t *testing.T) {
	records := NewRecords(Limits{Records: 3, CustomerRecords: 2, KeptBytes: 10, CustomerKeptBytes: 10, MaxResponseBytes: 10})
	for _, callerPart := range []string{"1", "2"} {
		records.Begin(testID("large", callerPart, 0), Digest{}, 0)
	}
	if d := records.Begin(testID("large", "3", 0), Digest{}, 0); d.Reason != outcome.ReasonKeyRecordsFull || d.Outcome != outcome.NotRun {
		t.Errorf("customer at its bound: %+v", d)
	}
	if d := records.Begin(testID("small", "1", 0), Digest{}, 0); d.Action != ActionRun {
		t.Errorf("another customer: %+v", d)
	}
	if d := records.Begin(testID("third", "1", 0), Digest{}, 0); d.Reason != outcome.ReasonKeyRecordsFull {
		t.Errorf("table at its bound: %+v", d)
	}
	if d := records.Begin(testID("large", "1", 0), Digest{}, 0); d.Action != ActionJoin {
		t.Errorf("known key at the bound: %+v", d)
	}
	records.Begin(testID("x", "1", 2), Digest{}, 2*WindowLength)
	if records.Len() != 1 {
		t.Errorf("%d records after the window closed, want 1", records.Len())
	}
}

// unboundedTable is a reference implementation that keeps everything in one map.
type unboundedTable struct {
	runs map[ID]*unboundedRun
}

type unboundedRun struct {
	digest, body Digest
	bodyKnown    bool
	result       *RunResult
}

func (u *unboundedTable) Begin(id ID, digest Digest, uptime time.Duration) Decision {
	now := uint64(uptime / WindowLength)
	if id.Key.Window+2 <= now {
		return refuse(outcome.MayHaveRun, outcome.ReasonKeyWindowClosed)
	}
	if id.Key.Window > now+1 {
		return refuse(outcome.NotRun, outcome.ReasonKeyMalformed)
	}
	run := u.runs[id]
	switch {
	case run == nil:
		u.runs[id] = &unboundedRun{digest: digest}
		return Decision{Action: ActionRun}
	case run.digest != digest:
		return refuse(outcome.NotRun, outcome.ReasonKeyReused)
	case run.result == nil:
		return Decision{Action: ActionJoin}
	case run.result.Outcome == outcome.NotRun:
		run.result = nil
		return Decision{Action: ActionRun}
	case run.result.Response != nil:
		return Decision{Action: ActionReplay, Response: run.result.Response}
	}
	return refuse(outcome.MayHaveRun, outcome.ReasonAlreadyRan)
}

func (u *unboundedTable) End(id ID, result RunResult) {
	if run := u.runs[id]; run != nil && run.result == nil {
		u.runs[id].result = &result
	}
}

func (u *unboundedTable) SetBodyDigest(id ID, body Digest) {
	if run := u.runs[id]; run != nil {
		run.body, run.bodyKnown = body, true
	}
}

func (u *unboundedTable) SameBody(id ID, body Digest) bool {
	run := u.runs[id]
	return run == nil || !run.bodyKnown || run.body == body
}

// TestRecordsAgreeWithUnboundedTable compares the records with one map that
// drops no record, over random requests, results and times.
func TestRecordsAgreeWithUnboundedTable(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		records, unbounded := NewRecords(DefaultLimits()), &unboundedTable{runs: make(map[ID]*unboundedRun)}
		uptime := time.Duration(0)
		outcomes := []outcome.Outcome{outcome.NotRun, outcome.Answered, outcome.MayHaveRun}
		for step := range 2000 {
			uptime += time.Duration(rng.IntN(400)) * time.Millisecond
			if rng.IntN(500) == 0 {
				uptime += 30 * time.Second
			}
			window := uint64(max(0, int(WindowAt(uptime))+rng.IntN(5)-3))
			id := testID([]string{"a", "b"}[rng.IntN(2)], string(rune('0'+rng.IntN(8))), window)
			if rng.IntN(2) == 0 {
				digest := Digest{byte(rng.IntN(10) / 9)}
				got, want := records.Begin(id, digest, uptime), unbounded.Begin(id, digest, uptime)
				if got != want {
					t.Fatalf("seed %d step %d: records %+v, unbounded table %+v", seed, step, got, want)
				}
				if open := WindowStateAt(window, uptime) == WindowOpen; open && records.SameBody(id, digest) != unbounded.SameBody(id, digest) {
					t.Fatalf("seed %d step %d: bodies compared differently", seed, step)
				}
				continue
			}
			if rng.IntN(4) == 0 {
				body := Digest{byte(rng.IntN(2))}
				records.SetBodyDigest(id, body)
				unbounded.SetBodyDigest(id, body)
			}
			result := RunResult{Outcome: outcomes[rng.IntN(3)]}
			if result.Outcome == outcome.Answered && rng.IntN(2) == 0 {
				result.Response = &Response{Status: step}
			}
			records.End(id, result, uptime)
			unbounded.End(id, result)
		}
	}
}

func BenchmarkRecords(b *testing.B) {
	records := NewRecords(DefaultLimits())
	response := &Response{Status: 200, Body: make([]byte, 100)}
	b.ReportAllocs()
	for i := range b.N {
		uptime := time.Duration(i) * 5 * time.Millisecond
		id := testID("a", time.Duration(i).String(), WindowAt(uptime))
		records.Begin(id, Digest{}, uptime)
		records.End(id, RunResult{Outcome: outcome.Answered, Response: response}, uptime)
	}
}

// BenchmarkRecordMemory reports the heap that a full table uses for each record.
func BenchmarkRecordMemory(b *testing.B) {
	limits := DefaultLimits()
	limits.CustomerRecords = limits.Records
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		records := NewRecords(limits)
		for i := range limits.Records {
			id := testID("customer", "0123456789abcdef"+strconv.Itoa(i), uint64(i%3))
			records.Begin(id, Digest{}, WindowLength)
			records.End(id, RunResult{Outcome: outcome.MayHaveRun}, WindowLength)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records.Len()), "bytes/record")
	}
}
