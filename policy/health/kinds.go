package health

// Kind classifies the end of an attempt, as entry/contract.AttemptKind does.
type Kind string

// The kinds of attempt ends.
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

// State is what a VM makes of a target.
type State string

// The states of a target.
const (
	// Healthy targets take their full share.
	Healthy State = "healthy"
	// Reduced targets take less work while the evidence is weak.
	Reduced State = "reduced"
	// Probation targets take only requests that may run twice.
	Probation State = "probation"
	// Ejected targets take trial requests only.
	Ejected State = "ejected"
	// Avoided targets are ejected by the VMs of one side of a path fault only.
	Avoided State = "avoided"
	// Ramping targets return, or start cold, with a growing share.
	Ramping State = "ramping"
	// Held targets take no new work while old attempts hold all their slots.
	Held State = "held"
	// Leaving targets drain.
	Leaving State = "leaving"
)
