package targetset

import "time"

// recentBytesWindow is how far back the most bytes at a target are known. A target that ends
// for lack of memory does so while it reads or runs what was sent to it.
const recentBytesWindow = 2 * time.Second

// recentBytes counts the bytes of the requests that are in progress at a target from this VM.
// The zero value is ready for use.
type recentBytes struct {
	inProgress int64
	// most is the most that were in progress at a time since the uptime at.
	most int64
	at   time.Duration
}

// add counts a request that begins.
func (r *recentBytes) add(bytes int64, now time.Duration) {
	r.inProgress += bytes
	if r.inProgress >= r.most || now-r.at > recentBytesWindow {
		r.most, r.at = r.inProgress, now
	}
}

// remove counts a request that ended.
func (r *recentBytes) remove(bytes int64) { r.inProgress -= bytes }

// latest returns the most bytes that were in progress within recentBytesWindow.
func (r *recentBytes) latest(now time.Duration) int64 {
	if now-r.at > recentBytesWindow {
		return r.inProgress
	}
	return max(r.most, r.inProgress)
}

// OtherBytes returns the most bytes of other requests of this VM that its target held at a
// time within the last seconds.
func (a *Attempt) OtherBytes() int64 {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(a.target.bytes.latest(m.options.Uptime())-a.bytes, 0)
}
