package target

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// HealthResponse is what the health endpoint tells.
type HealthResponse string

// The health answers.
const (
	HealthTruthful        HealthResponse = ""
	HealthAlwaysHealthy   HealthResponse = "well"
	HealthAlwaysUnhealthy HealthResponse = "unwell"
)

// Faults are the ways in which a target misbehaves; the zero value is none.
type Faults struct {
	// SlowFactor multiplies service times when above 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// SlowShare is the share of requests that SlowFactor applies to; zero means all.
	SlowShare float64 `json:"slow_share,omitempty"`
	// HangShare is the share of requests that never get an answer.
	HangShare float64 `json:"hang_share,omitempty"`
	// ErrorShare is the share of requests answered with status 500.
	ErrorShare float64 `json:"error_share,omitempty"`
	// WrongShare is the share of requests answered for another correlation identifier.
	WrongShare float64 `json:"wrong_share,omitempty"`
	// TruncateShare is the share of answers that break off half-way.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// ResetShare is the share of requests whose connection is reset while they run.
	ResetShare float64 `json:"reset_share,omitempty"`
	// OutOfOrderShare is the share of answers swapped with an earlier request's answer.
	OutOfOrderShare float64 `json:"out_of_order_share,omitempty"`
	// CrashPath crashes the target when a request's path has this prefix.
	CrashPath string `json:"crash_path,omitempty"`
	// CrashedFor is how long a crashed target stays down.
	CrashedFor document.Duration `json:"crashed_for,omitempty"`
	// LateBy is added to each answer, whatever the deadline.
	LateBy document.Duration `json:"late_by,omitempty"`
	// OneWay loses all that the target sends; it still hears and runs requests.
	OneWay bool `json:"one_way,omitempty"`
	// FlapPeriod switches the other faults on and off, each for this long.
	FlapPeriod document.Duration `json:"flap_period,omitempty"`
	// Health overrides the health endpoint's answer.
	Health HealthResponse `json:"health,omitempty"`
	// LoadLag is the age up to which load reports are repeated.
	LoadLag document.Duration `json:"load_lag,omitempty"`
	// LoadIdle makes the load endpoint always report an idle target.
	LoadIdle bool `json:"load_idle,omitempty"`
}

// Validate reports the first share outside 0 to 1 or negative value.
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

// activeFaults returns the faults in force now.
func (t *Target) activeFaults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	faults := t.faults
	if faults.FlapPeriod > 0 && (time.Since(t.started)/faults.FlapPeriod.Std())%2 == 1 {
		return Faults{FlapPeriod: faults.FlapPeriod}
	}
	return faults
}

// happens draws whether a fault of a given share strikes.
func happens(share float64) bool {
	return share > 0 && rand.Float64() < share
}

// serviceTime draws how long one request takes.
func (t *Target) serviceTime(faults Faults) time.Duration {
	took := t.options.ServiceTime()
	if t.options.ColdFactor > 1 && t.uptime() < t.options.ColdFor {
		took = scale(took, t.options.ColdFactor)
	}
	slow := faults.SlowFactor > 1 && (faults.SlowShare == 0 || happens(faults.SlowShare))
	if slow {
		took = scale(took, faults.SlowFactor)
	}
	return took
}

// uptime returns the time since the process last started.
func (t *Target) uptime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.started)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
