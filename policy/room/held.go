package room

import "time"

// Held is what a target has said that it holds when it refused a request for lack of room. It
// may hold more than the VMs count: it still runs requests whose callers have left. The zero
// value stands for a target that has not refused.
type Held struct {
	// places is the number of requests that the target holds at most, running and waiting.
	places int
	// slots is the number of them that run at a time.
	slots int
	at    time.Duration
	// begun and ended count the attempts there that are known to have begun and ended since.
	begun, ended int
}

// RefusedFull returns what is known of a target that has just refused a request while it held
// this many others.
func RefusedFull(held, slots int, now time.Duration) Held {
	return Held{places: held, slots: slots, at: now}
}

// Begun counts attempts that have begun since.
func (h *Held) Begun(count int) { h.begun += count }

// Ended counts attempts that have ended since.
func (h *Held) Ended(count int) { h.ended += count }

// IsFull reports whether the target has no place for another request: as many attempts have
// begun as have ended, or as could end while attempts take runTime in the mean. Once all of the
// work that it reported could be done, nothing is known any more.
func (h *Held) IsFull(runTime, now time.Duration) bool {
	if h.places == 0 || runTime <= 0 {
		return false
	}
	could := int((now - h.at).Seconds() / runTime.Seconds() * float64(h.slots))
	return could < h.places && h.begun >= max(could, h.ended)
}
