package balance

import "time"

const (
	// windowDecrease is the factor by which a shed request shrinks the window.
	windowDecrease = 0.85
	// minWindow is the smallest window, in requests.
	minWindow = 1.0
)

// Window bounds the requests that one VM has in progress at a service's
// targets, by additive increase and multiplicative decrease.
type Window struct {
	size, ceiling float64
	// rest is the time until which further sheds shrink the window no more.
	rest time.Time
}

// NewWindow returns a window that starts at a size and never exceeds a ceiling,
// both in requests.
func NewWindow(size, ceiling float64) *Window {
	return &Window{size: max(size, minWindow), ceiling: max(ceiling, minWindow)}
}

// Ceiling returns the largest size, in requests.
func (w *Window) Ceiling() float64 { return w.ceiling }

// Allows reports whether one more request may start beside those in progress.
func (w *Window) Allows(inFlight int) bool { return float64(inFlight) < w.size }

// Size returns the size, in requests.
func (w *Window) Size() float64 { return w.size }

// Succeeded records a request that found a free slot while inFlight requests
// were in progress. A window that is not used up does not grow.
func (w *Window) Succeeded(inFlight int) {
	if float64(inFlight)+1 >= w.size {
		w.size = min(w.size+1/w.size, w.ceiling)
	}
}

// Shed records a request that a full target turned away. The window shrinks
// once in each round trip of the service.
func (w *Window) Shed(now time.Time, serviceTime time.Duration) {
	if now.Before(w.rest) {
		return
	}
	w.size = max(w.size*windowDecrease, minWindow)
	w.rest = now.Add(serviceTime)
}
