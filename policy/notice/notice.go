package notice

import (
	"math"
	"time"
)

// Notice is what one response says of its target.
type Notice struct {
	// IsLimited is true when the target names RateLimit, the requests a second that it
	// takes from all VMs together.
	IsLimited bool
	RateLimit float64
	// IsLeaving is true when the target is about to end.
	IsLeaving bool
	// Pause is how long this VM is to send nothing; zero when the target wants no pause.
	Pause time.Duration
}

// Process identifies one start of a target.
type Process struct {
	Target string
	// Incarnation orders the starts under one identifier; zero when it is not known.
	Incarnation int64
}

// follows reports whether the process is a later start than another one of its target.
func (p Process) follows(other Process) bool {
	return p.Incarnation > other.Incarnation && other.Incarnation != 0
}

// State is what is known of a target from its responses.
type State struct {
	// IsLimited and RateLimit are the latest word on a limit.
	IsLimited bool
	RateLimit float64
	// IsLeaving is true once the target has said that it leaves.
	IsLeaving bool
	// PausedUntil is the end of the latest pause that this VM was asked for.
	PausedUntil time.Duration
}

// Report is what VMs tell one another of a process.
type Report struct {
	Process Process
	// HasLimitWord is true when IsLimited and RateLimit are known, from a response that
	// was received at the uptime LimitAt.
	HasLimitWord bool
	IsLimited    bool
	RateLimit    float64
	LimitAt      time.Duration
	// IsLeaving is true when the target has said that it leaves, last in a response that
	// was received at the uptime LeavingAt.
	IsLeaving bool
	LeavingAt time.Duration
}

// Change is what a notice or a report changed.
type Change struct {
	// Limit is true when a limit was named, changed or lifted.
	Limit bool
	// Leaving is true when the target began to leave, Paused when a pause began.
	Leaving, Paused bool
}

// IsZero reports whether nothing changed.
func (c Change) IsZero() bool { return c == Change{} }

// ValidRateLimit reports whether a number is a possible rate limit.
func ValidRateLimit(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 1)
}
