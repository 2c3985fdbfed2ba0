package balance

import "time"

const (
	// windowDecreaseFactor multiplies the window's size after a shed request.
	windowDecreaseFactor = 0.85
	// minWindowSize is the smallest window, in requests.
	minWindowSize = 1.0
)

// Window bounds the requests that one VM has in progress at all targets of a
// service, by additive increase and multiplicative decrease.
type Window struct {
	size, ceiling float64
	// noShrinkUntil is the time until which further sheds do not shrink the window.
	noShrinkUntil time.Time
}

// NewWindow returns a window that starts at a size and never exceeds a ceiling,
// both in requests.
func NewWindow(size, ceiling float64) *Window {
	return &Window{size: max(size, minWindowSize), ceiling: max(ceiling, minWindowSize)}
}

// Ceiling returns the largest size, in requests.
func (w *Window) Ceiling() float64 { return w.ceiling }

// Allows reports whether one more request may start beside those in progress.
func (w *Window) Allows(inFlight int) bool { return float64(inFlight) < w.size }

// Size returns the size, in requests.
func (w *Window) Size() float64 { return w.size }

// Succeeded records a request that found a free slot while inFlight requests
// were in progress. The window grows only while it is fully used.
func (w *Window) Succeeded(inFlight int) {
	if float64(inFlight)+1 >= w.size {
		w.size = min(w.size+1/w.size, w.ceiling)
	}
}

// Shed records a request that a full target shed. The window shrinks at most
// once per service time.
func (w *Window) Shed(now time.Time, serviceTime time.Duration) {
	if now.Before(w.noShrinkUntil) {
		return
	}
	w.size = max(w.size*windowDecreaseFactor, minWindowSize)
	w.noShrinkUntil = now.Add(serviceTime)
}
