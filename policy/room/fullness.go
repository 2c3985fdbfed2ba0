package room

import "time"

// Fullness estimates whether a target that refused a request for lack of room is still full. It
// may run more than the VMs count: it goes on with requests whose callers have left. The zero
// value is a target that has not refused.
type Fullness struct {
	// places is the number of requests that the target holds at most, running and waiting.
	places int
	// slots is the number of them that run at a time.
	slots int
	at    time.Duration
	// begun counts the attempts that this VM has begun there since, ended those of all VMs that are
	// known to have ended. Attempts of other VMs that are announced now may have begun before.
	begun, ended int
}

// RefusedFull returns what is known of a target that has just refused a request while it held
// this many others.
func RefusedFull(held, slots int, now time.Duration) Fullness {
	return Fullness{places: held, slots: slots, at: now}
}

// Begun counts attempts that this VM has begun since.
func (h *Fullness) Begun(count int) { h.begun += count }

// Ended counts attempts that are known to have ended since.
func (h *Fullness) Ended(count int) { h.ended += count }

// IsFull reports whether the target has no place for another request: no more attempts have
// ended than this VM has begun since. Once all of the work that it reported can be done, while
// attempts take runTime in the mean, it is full no longer.
func (h *Fullness) IsFull(runTime, now time.Duration) bool {
	if h.places == 0 || runTime <= 0 {
		return false
	}
	done := (now - h.at).Seconds() / runTime.Seconds() * float64(h.slots)
	return done < float64(h.places) && h.begun >= h.ended
}
