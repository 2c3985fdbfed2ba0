package platform

import "time"

// callCounter counts the calls to the platform.
type callCounter struct {
	total         int64
	currentSecond int64
	// inCurrentSecond is the number of calls in currentSecond.
	inCurrentSecond int64
	peakPerSecond   int64
	refused         int64
}

// countCall counts a call and reports whether it is within MaxCallsPerSecond.
func (p *Platform) countCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now().Unix()
	if now != p.calls.currentSecond {
		p.calls.currentSecond = now
		p.calls.inCurrentSecond = 0
	}
	p.calls.total++
	p.calls.inCurrentSecond++
	p.calls.peakPerSecond = max(p.calls.peakPerSecond, p.calls.inCurrentSecond)
	if p.calls.inCurrentSecond > MaxCallsPerSecond {
		p.calls.refused++
		return false
	}
	return true
}

// Calls returns the total number of calls; each watch counts as one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.total
}

// PeakCallsPerSecond returns the largest number of calls in one second.
func (p *Platform) PeakCallsPerSecond() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.peakPerSecond
}

// RefusedCalls returns the number of calls refused above the limit.
func (p *Platform) RefusedCalls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.refused
}
