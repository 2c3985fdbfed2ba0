package target

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// HealthResponse selects what the health endpoint reports.
type HealthResponse string

// HealthTruthful reports unhealthy while HangShare, ErrorShare or WrongShare is
// above 0; with other faults, such as slow, reset or truncated responses, it still
// reports healthy. The other two values report the same state whatever the faults.
const (
	HealthTruthful        HealthResponse = ""
	HealthAlwaysHealthy   HealthResponse = "well"
	HealthAlwaysUnhealthy HealthResponse = "unwell"
)

// Faults are the faults injected into a target; the zero value injects none.
type Faults struct {
	// SlowFactor multiplies service times when above 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// SlowShare is the share of requests that SlowFactor applies to; zero means all of them.
	SlowShare float64 `json:"slow_share,omitempty"`
	// HangShare is the share of requests that never get a response.
	HangShare float64 `json:"hang_share,omitempty"`
	// ErrorShare is the share of requests answered with status 500.
	ErrorShare float64 `json:"error_share,omitempty"`
	// WrongShare is the share of responses that carry a wrong correlation identifier
	// and another body.
	WrongShare float64 `json:"wrong_share,omitempty"`
	// TruncateShare is the share of responses truncated half-way through the body.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// ResetShare is the share of requests whose connection is reset before the response.
	ResetShare float64 `json:"reset_share,omitempty"`
	// OutOfOrderShare is the share of responses replaced with the response to an earlier request.
	OutOfOrderShare float64 `json:"out_of_order_share,omitempty"`
	// CrashPath crashes the target when a request's path has this prefix.
	CrashPath string `json:"crash_path,omitempty"`
	// CrashedFor is how long a crashed target stays down.
	CrashedFor document.Duration `json:"crashed_for,omitempty"`
	// LateBy delays each response further, even beyond the request's deadline.
	LateBy document.Duration `json:"late_by,omitempty"`
	// OneWay drops all data that the target sends; it still receives and runs requests.
	OneWay bool `json:"one_way,omitempty"`
	// FlapPeriod alternates between the other faults and no faults, each for this
	// long; a full cycle takes twice FlapPeriod.
	FlapPeriod document.Duration `json:"flap_period,omitempty"`
	// Health overrides the health endpoint's response.
	Health HealthResponse `json:"health,omitempty"`
	// LoadLag is the age up to which the load endpoint returns its previous report again.
	LoadLag document.Duration `json:"load_lag,omitempty"`
	// LoadIdle makes the load endpoint always report no requests in flight.
	LoadIdle bool `json:"load_idle,omitempty"`
}

// Validate returns an error for the first share outside 0 to 1, or for a negative
// slow factor.
func (f Faults) Validate() error {
	shares := []struct {
		name  string
		value float64
	}{
		{"slow_share", f.SlowShare}, {"hang_share", f.HangShare}, {"error_share", f.ErrorShare},
		{"wrong_share", f.WrongShare}, {"truncate_share", f.TruncateShare},
		{"reset_share", f.ResetShare}, {"out_of_order_share", f.OutOfOrderShare},
	}
	for _, share := range shares {
		if share.value < 0 || share.value > 1 {
			return fmt.Errorf("%s: value %v is not allowed: want 0 to 1", share.name, share.value)
		}
	}
	if f.SlowFactor < 0 {
		return fmt.Errorf("slow_factor: value %v is not allowed: want 0 or more", f.SlowFactor)
	}
	return nil
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(faults Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
	t.changed.Broadcast()
}

// activeFaults returns the faults that apply now.
func (t *Target) activeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults
	if faults.FlapPeriod > 0 && (time.Since(t.startedAt)/faults.FlapPeriod.Std())%2 == 1 {
		return Faults{FlapPeriod: faults.FlapPeriod}
	}
	return faults
}

// happens decides at random whether a fault with the given share applies.
func happens(share float64) bool {
	return share > 0 && rand.Float64() < share
}

// drawServiceTime draws the service time of one request, with slowness faults applied.
func (t *Target) drawServiceTime(faults Faults) time.Duration {
	duration := t.options.ServiceTime()
	if t.options.ColdFactor > 1 && t.uptime() < t.options.ColdFor {
		duration = scale(duration, t.options.ColdFactor)
	}
	slow := faults.SlowFactor > 1 && (faults.SlowShare == 0 || happens(faults.SlowShare))
	if slow {
		duration = scale(duration, faults.SlowFactor)
	}
	return duration
}

// uptime returns the time since the simulated process last started.
func (t *Target) uptime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.startedAt)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
