package bytebudget

import "time"

const (
	// pacedShare is the part of the link that large responses may use together with small
	// ones; the rest absorbs retransmissions and what the pacer doesn't see.
	pacedShare = 0.9
	// paceBurst is the time ahead of which large responses may be written.
	paceBurst = 20 * time.Millisecond
	// maxSmallLead bounds how long small responses may hold up large ones, so that large ones
	// go on when small ones alone need more than the link has.
	maxSmallLead    = 200 * time.Millisecond
	bytesPerMegabit = 1e6 / 8
)

// Pacer spreads large responses over a link.
type Pacer struct {
	bytesPerSecond float64
	// free is the uptime at which the link has carried what it was given.
	free time.Duration
}

// NewPacer returns a pacer of a link with the given bandwidth in megabits a second.
func NewPacer(linkMbps float64) *Pacer {
	return &Pacer{bytesPerSecond: linkMbps * bytesPerMegabit * pacedShare}
}

// Large returns how long to wait before bytes of a large response are written, and counts
// them. Parts are written in the order of the calls.
func (p *Pacer) Large(bytes int64, now time.Duration) (wait time.Duration) {
	start := max(p.free, now-paceBurst)
	p.free = start + p.duration(bytes)
	return max(start-now, 0)
}

// Small counts bytes of a small response, which are written at once.
func (p *Pacer) Small(bytes int64, now time.Duration) {
	lead := max(p.free, now-paceBurst)
	p.free = max(lead, min(lead+p.duration(bytes), now+maxSmallLead))
}

// duration returns the time that the link needs for bytes.
func (p *Pacer) duration(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}
