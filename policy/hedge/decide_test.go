package hedge

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// TestEligible guards against hedges of requests that must not run twice, cannot be sent
// again, have used their attempts, or may crash targets.
func TestEligible(t *testing.T) {
	base := Request{Idempotent: true, BodyHeld: true, Attempts: 1, AttemptsAllowed: 2}
	for _, c := range []struct {
		name   string
		change func(*Request)
		want   Reason
	}{
		{"idempotent", func(*Request) {}, Allowed},
		{"must not run twice", func(r *Request) { r.Idempotent = false }, NotIdempotent},
		{"body not in memory", func(r *Request) { r.BodyHeld = false }, BodyNotHeld},
		{"hedged before", func(r *Request) { r.Hedged = true }, AlreadyHedged},
		{"last attempt", func(r *Request) { r.Attempts = 2 }, AttemptsExhausted},
		{"may crash targets", func(r *Request) { r.CrashSuspect = true }, CrashSuspect},
	} {
		request := base
		c.change(&request)
		if got := Eligible(request); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// measured returns durations of 1 to 100 ms, whose 95th percentile is 96 ms.
func measured() *Durations {
	var d Durations
	for i := range durationsKept {
		d.Add(time.Duration(i%100+1) * time.Millisecond)
	}
	return &d
}

// TestDue guards against hedges before the 95th percentile of the route's durations, after
// which they help, and against ones that cannot end in time.
func TestDue(t *testing.T) {
	on := Settings{Ratio: 0.02, MinDelay: 10 * time.Millisecond}
	for _, c := range []struct {
		name      string
		settings  Settings
		durations *Durations
		moment    Moment
		want      Reason
		again     time.Duration
	}{
		{"off", Settings{MinDelay: time.Millisecond}, measured(), Moment{Elapsed: time.Second, Remaining: time.Second}, Off, 0},
		{"not measured", on, &Durations{}, Moment{Elapsed: time.Second, Remaining: time.Second}, NotMeasured, 0},
		{"at the begin", on, measured(), Moment{Remaining: time.Second}, TooEarly, 51 * time.Millisecond},
		{"above the median", on, measured(), Moment{Elapsed: 90 * time.Millisecond, Remaining: time.Second}, TooEarly, 6 * time.Millisecond},
		{"at the 95th percentile", on, measured(), Moment{Elapsed: 96 * time.Millisecond, Remaining: time.Second}, Allowed, 0},
		{"target became a suspect", on, measured(), Moment{Elapsed: 60 * time.Millisecond, Remaining: time.Second, TargetSuspect: true}, Allowed, 0},
		{"suspect before the median", on, measured(), Moment{Elapsed: 40 * time.Millisecond, Remaining: time.Second, TargetSuspect: true}, TooEarly, 11 * time.Millisecond},
		{"under the floor", Settings{Ratio: 0.02, MinDelay: 200 * time.Millisecond}, measured(), Moment{Elapsed: 150 * time.Millisecond, Remaining: time.Second, TargetSuspect: true}, TooEarly, 50 * time.Millisecond},
		{"no time left", on, measured(), Moment{Elapsed: time.Second, Remaining: 30 * time.Millisecond}, DeadlineTooNear, 0},
	} {
		got, again := Due(c.settings, c.durations, c.moment)
		if got != c.want || again != c.again {
			t.Errorf("%s: %s, again %v, want %s, %v", c.name, got, again, c.want, c.again)
		}
	}
}

// TestFits guards against hedges that take a slot from a request that waits, or one of the
// last free ones.
func TestFits(t *testing.T) {
	for _, c := range []struct {
		name string
		room Room
		want Reason
	}{
		{"half of the slots free", Room{Slots: 40, Free: 20}, Allowed},
		{"few slots free", Room{Slots: 40, Free: 4}, NoRoom},
		{"no slot free", Room{Slots: 40}, NoRoom},
		{"requests wait", Room{Slots: 40, Free: 20, Waiting: true}, RequestsWait},
		{"no targets", Room{}, NoRoom},
		{"one of six", Room{Slots: 6, Free: 1}, Allowed},
	} {
		got, again := Fits(c.room)
		if got != c.want || (got == Allowed) != (again == 0) || again > 100*time.Millisecond {
			t.Errorf("%s: %s, again %v, want %s", c.name, got, again, c.want)
		}
	}
}

// TestHedgeIsNeverEarly guards against an early hedge and against asking that never
// leads to one, or too often.
func TestHedgeIsNeverEarly(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("asked at the returned times, the hedge comes at its delay", prop.ForAll(
		func(durations []int64, minDelay int64, suspect bool) bool {
			var d Durations
			for _, ms := range durations {
				d.Add(time.Duration(ms) * time.Millisecond)
			}
			settings := Settings{Ratio: 0.02, MinDelay: time.Duration(minDelay) * time.Millisecond}
			delay := d.Delay(settings.MinDelay, suspect)
			elapsed := time.Duration(0)
			for asked := 0; ; asked++ {
				reason, again := Due(settings, &d, Moment{Elapsed: elapsed, Remaining: time.Hour, TargetSuspect: suspect})
				if reason == Allowed {
					return elapsed >= settings.MinDelay && elapsed == delay
				}
				if reason != TooEarly || again <= 0 || asked > int(delay/askAgain)+2 {
					return false
				}
				elapsed += again
			}
		},
		gen.SliceOfN(60, gen.Int64Range(1, 4000)), gen.Int64Range(0, 500), gen.Bool(),
	))
	properties.TestingRun(t)
}

// TestDelayFollowsTheRoute guards against a delay by durations of long ago.
func TestDelayFollowsTheRoute(t *testing.T) {
	var d Durations
	for range 2 * durationsKept {
		d.Add(10 * time.Millisecond)
	}
	for range durationsKept {
		d.Add(300 * time.Millisecond)
	}
	if got := d.Delay(0, false); got != 300*time.Millisecond {
		t.Errorf("delay %v after the route became slower", got)
	}
}

// TestUsableRatio guards against requests at slow targets without a hedge because others, which
// end soon anyway, have used the budget; while all targets are sound the whole ratio is usable.
func TestUsableRatio(t *testing.T) {
	on := Settings{Ratio: 0.02}
	for _, c := range []struct {
		name     string
		moment   Moment
		suspects bool
		want     float64
	}{
		{"all targets are sound", Moment{Elapsed: 100 * time.Millisecond}, false, 0.02},
		{"at a sound target beside slow ones", Moment{Elapsed: 100 * time.Millisecond}, true, usualShare * 0.02},
		{"at a suspect", Moment{Elapsed: 60 * time.Millisecond, TargetSuspect: true}, true, 0.02},
		{"much too long", Moment{Elapsed: 192 * time.Millisecond}, true, 0.02},
	} {
		if got := UsableRatio(on, measured(), c.moment, Room{HasSuspects: c.suspects}); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
