package platform

import "time"

// calls counts what the service was asked.
type calls struct {
	total  int64
	second int64
	// inSecond is the number of calls of the present second.
	inSecond int64
	peak     int64
	refused  int64
}

// countCall counts a call and reports whether it is within the limit.
func (p *Platform) countCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now().Unix()
	if now != p.calls.second {
		p.calls.second = now
		p.calls.inSecond = 0
	}
	p.calls.total++
	p.calls.inSecond++
	p.calls.peak = max(p.calls.peak, p.calls.inSecond)
	if p.calls.inSecond > MaxCallsPerSecond {
		p.calls.refused++
		return false
	}
	return true
}

// Calls returns the number of calls so far; a waiting watch is one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.total
}

// PeakCallsPerSecond returns the largest number of calls in one second.
func (p *Platform) PeakCallsPerSecond() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.peak
}

// RefusedCalls returns the number of calls above the limit.
func (p *Platform) RefusedCalls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.refused
}
