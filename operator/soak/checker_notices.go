package soak

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/notice"
)

// Bounds on what may reach a target after it has spoken of itself.
const (
	// noticeDelay is how long after a response a daemon may still act as if it did not know
	// what the target said in it.
	noticeDelay = 500 * time.Millisecond
	// limitWindow is the time over which the requests of a limited target are counted; it
	// may get limitFactor times what its limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// allowedInPause is the number of requests that may reach a target from a daemon during
	// a pause.
	allowedInPause = 2
)

// arrival is a request that reached a target, whether it ran or was refused, and what the
// target says of itself in its response.
type arrival struct {
	// process names the process of the target.
	process, requestID string
	at                 time.Time
	said               notice.Notice
	// vm is the daemon that sent it to the target.
	vm int
}

func (c *checker) recordArrival(a arrival) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[a.process] = append(c.arrivals[a.process], a)
}

// checkNotices checks that daemons heed what targets say of themselves. The caller holds
// c.mu.
func (c *checker) checkNotices() {
	for process, arrivals := range c.arrivals {
		known := slices.DeleteFunc(arrivals, func(a arrival) bool { return c.heldUp(a.vm, a.at) })
		slices.SortFunc(known, func(a, b arrival) int { return a.at.Compare(b.at) })
		c.checkLimit(process, known)
		for vm := range c.vmsOf(known) {
			own := slices.DeleteFunc(slices.Clone(known), func(a arrival) bool { return a.vm != vm })
			c.checkLeaving(process, own)
			c.checkPauses(process, own)
		}
	}
}

// vmsOf returns the daemons that arrivals came through.
func (c *checker) vmsOf(arrivals []arrival) map[int]bool {
	vms := make(map[int]bool)
	for _, a := range arrivals {
		vms[a.vm] = true
	}
	return vms
}

// knows reports whether a daemon that was told something must still know and heed it at a
// later time: its process has run ever since. The caller holds c.mu.
func (c *checker) knows(vm int, told, at time.Time) bool {
	return !overlaps(c.interruptions[vm], told.Add(-noticeDelay), at) && !c.inPlannedStop(vm, told, at)
}

// checkLimit checks the requests that reached a target while it named one limit.
func (c *checker) checkLimit(process string, arrivals []arrival) {
	for len(arrivals) > 0 {
		first := slices.IndexFunc(arrivals, func(a arrival) bool { return a.said.IsLimited })
		if first < 0 {
			return
		}
		arrivals = arrivals[first:]
		limit := arrivals[0].said.RateLimit
		end := slices.IndexFunc(arrivals, func(a arrival) bool { return a.said.RateLimit != limit })
		if end < 0 {
			end = len(arrivals)
		}
		c.checkWindows(process, limit, arrivals[:end])
		arrivals = arrivals[end:]
	}
}

// checkWindows checks each window that ends later than StabilityTime after the first
// response with a limit.
func (c *checker) checkWindows(process string, limit float64, arrivals []arrival) {
	allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack
	counted := c.toldOfLimit(arrivals)
	for i, last := range counted {
		if last.at.Sub(arrivals[0].at) < StabilityTime {
			continue
		}
		begin := slices.IndexFunc(counted, func(a arrival) bool { return last.at.Sub(a.at) < limitWindow })
		if got := i - begin + 1; float64(got) > allowed {
			c.addViolation(PromiseRateLimit, last.at, "target %s, which had named a limit of %.1f a second, got %d requests in %v from daemons that it had told; allowed %.0f", process, limit, got, limitWindow, allowed)
			return
		}
	}
}

// toldOfLimit returns the arrivals from daemons that had to know of the limit.
func (c *checker) toldOfLimit(arrivals []arrival) []arrival {
	told := make(map[int]time.Time)
	var counted []arrival
	for _, a := range arrivals {
		since, ok := told[a.vm]
		if !ok || !c.knows(a.vm, since, a.at) {
			told[a.vm] = a.at
			continue
		}
		if a.at.Sub(since) >= noticeDelay {
			counted = append(counted, a)
		}
	}
	return counted
}

// checkLeaving checks the arrivals from one daemon at a target that has told it that it
// leaves.
func (c *checker) checkLeaving(process string, arrivals []arrival) {
	var told time.Time
	for _, a := range arrivals {
		if !told.IsZero() && a.at.Sub(told) > drainBound+scheduleSlack+routeTimeout && c.knows(a.vm, told, a.at) {
			c.addViolation(PromiseDrain, a.at, "request %s reached target %s through VM %d %v after the target had told it that it leaves", a.requestID, process, a.vm, a.at.Sub(told))
			return
		}
		if a.said.IsLeaving && (told.IsZero() || !c.knows(a.vm, told, a.at)) {
			told = a.at
		}
	}
}

// checkPauses checks the arrivals from one daemon at a target that asked it for a pause.
func (c *checker) checkPauses(process string, arrivals []arrival) {
	for i, asked := range arrivals {
		if asked.said.Pause == 0 {
			continue
		}
		inPause := 0
		for _, a := range arrivals[i+1:] {
			if after := a.at.Sub(asked.at); after >= noticeDelay && after < asked.said.Pause && c.knows(a.vm, asked.at, a.at) {
				inPause++
			}
		}
		if inPause > allowedInPause {
			c.addViolation(PromisePause, asked.at, "%d requests reached target %s through VM %d in the pause of %v that it had asked for", inPause, process, asked.vm, asked.said.Pause)
			return
		}
	}
}
