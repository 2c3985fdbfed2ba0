package offer

import "time"

const (
	// MinKeepFor is the shortest time for which callers are told to keep a directory response.
	MinKeepFor = 500 * time.Millisecond
	// keepFactor is how many times the stated time some callers keep a directory response.
	keepFactor = 3
	// noticeTime is the time in which the other VMs learn that a VM stops, and no longer advertise it.
	noticeTime = 250 * time.Millisecond
)

// KeepFor returns how long callers are told to keep a directory response, which is at most the
// configured time. A VM that begins a planned stop ends after the time finish; a request that comes
// within longest, the longest time limit of the routes, before that is refused. The response must have
// expired by then for all callers.
func KeepFor(configured, finish, longest time.Duration) time.Duration {
	expires := (finish - longest - noticeTime) / keepFactor
	return min(configured, max(expires, MinKeepFor))
}
