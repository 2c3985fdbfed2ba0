package health

// Kind classifies the result of an attempt, as entry/contract.AttemptKind does.
type Kind string

// The kinds of results.
const (
	Succeeded Kind = "succeeded"
	Refused   Kind = "refused"
	Reset     Kind = "reset"
	TimedOut  Kind = "timed_out"
	Truncated Kind = "truncated"
	Wrong     Kind = "wrong"
	Shed      Kind = "shed"
	Draining  Kind = "draining"
	Canceled  Kind = "canceled"
)

// Failed reports whether the kind counts against the target.
func (k Kind) Failed() bool {
	switch k {
	case Refused, Reset, TimedOut, Truncated, Wrong:
		return true
	}
	return false
}

// State is a target's state in the view of one VM.
type State string

// The states of a target.
const (
	// Healthy targets take their full share.
	Healthy State = "healthy"
	// Reduced targets take less work while the evidence is weak.
	Reduced State = "reduced"
	// Probation targets take only idempotent requests, as trials. A faulty target
	// that the floor keeps in service has this state too and takes reduced work.
	Probation State = "probation"
	// Ejected targets take trial requests only.
	Ejected State = "ejected"
	// Avoided targets are out of service only on the VMs that see a path fault.
	Avoided State = "avoided"
	// Ramping targets have returned or are new, and take a growing share.
	Ramping State = "ramping"
	// Held targets take no new work while overdue attempts occupy all their slots.
	Held State = "held"
	// Leaving targets drain.
	Leaving State = "leaving"
)
