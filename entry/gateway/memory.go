package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/policy/bytebudget"
)

// requestBytes is what a request in progress needs beside its body and response: the
// goroutines and buffers of two connections, and one part of a streamed response.
const requestBytes = 32 << 10

// growthShare is the part of the budget that may be used for what exceeds the reservation before an
// attempt: large heads, and responses larger than usual. The rest is for further requests.
const growthShare = 0.5

// memory bounds the bytes that are held for requests and responses, and the part of the link
// that large responses use. A nil memory sets no bound.
type memory struct {
	// makeRoom closes a connection of a caller that holds memory, if there is one to close, and reports
	// whether it has; nil for never.
	makeRoom atomic.Pointer[func() bool]
	began    time.Time
	gauge    tally.Gauge
	// sent is the average bytes a second that are written to callers.
	sent rate

	mu     sync.Mutex
	budget *bytebudget.Budget
	sizes  bytebudget.Sizes
	pacer  *bytebudget.Pacer
}

// newMemory returns the bounds of a VM with the given memory in megabytes and link in
// megabits a second, or nil when megabytes is 0.
func newMemory(megabytes, linkMbps float64, scope tally.Scope) *memory {
	if megabytes <= 0 {
		return nil
	}
	m := &memory{
		began: time.Now(), gauge: scope.Gauge("bytes_held"),
		budget: bytebudget.NewBudget(bytebudget.Limit(megabytes)), pacer: bytebudget.NewPacer(linkMbps),
	}
	scope.Gauge("bytes_held_limit").Update(float64(m.budget.Limit()))
	m.gauge.Update(0)
	return m
}

// newHold returns an empty part of the budget, nil when there is no bound.
func (m *memory) newHold() *hold {
	if m == nil {
		return nil
	}
	return &hold{memory: m}
}

// estimate returns the bytes that a response of a route usually needs.
func (m *memory) estimate(route *routing.Route) int64 {
	if m == nil {
		return 0
	}
	first := int64(bytebudget.FirstEstimate)
	if route.Kind == routing.KindDownload {
		first = bytebudget.FirstDownloadEstimate
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sizes.Estimate(route.Name, first, maxBufferedResponseBytes)
}

// observe records the bytes that a response of a route needed.
func (m *memory) observe(route string, bytes int64) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sizes.Observe(route, bytes)
}

// paceLarge counts bytes of a large response and returns how long to wait before they are
// written.
func (m *memory) paceLarge(bytes int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pacer.Large(bytes, time.Since(m.began))
}

// paceSmall counts bytes of a small response.
func (m *memory) paceSmall(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pacer.Small(bytes, time.Since(m.began))
}

// held returns the bytes that are held now.
func (m *memory) held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held()
}

// heldShare returns the fraction of the budget that is held.
func (m *memory) heldShare() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return float64(m.budget.Held()) / float64(m.budget.Limit())
}

// hold is the part of the budget that a request, or one response, has reserved. Its methods
// may be called on nil, which has no bound.
type hold struct {
	memory *memory
	bytes  int64
	// isReleased is true once nothing more may be reserved: an attempt that has lost against
	// another one may outlast its request.
	isReleased bool
}

// grow reserves further bytes, all of them or none.
func (h *hold) grow(bytes int64) bool {
	if h == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.growLocked(bytes)
}

// growLocked is grow while the memory's lock is held.
func (h *hold) growLocked(bytes int64) bool {
	if h.isReleased || !h.memory.budget.Reserve(h.bytes, bytes) {
		return false
	}
	h.bytes += bytes
	h.memory.gauge.Update(float64(h.memory.budget.Held()))
	return true
}

// growOrMakeRoom is like grow; without room, callers' connections are closed that hold memory and do least.
func (h *hold) growOrMakeRoom(bytes int64) bool {
	if h == nil {
		return true
	}
	makeRoom := h.memory.makeRoom.Load()
	if makeRoom == nil {
		return h.grow(bytes)
	}
	return framing.WithRoom(func() bool { return h.grow(bytes) }, *makeRoom)
}

// Resize makes the reservation a number of bytes, or leaves it as it is and returns false.
func (h *hold) Resize(bytes int64) bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	if bytes > h.bytes {
		return h.growLocked(bytes - h.bytes)
	}
	h.shrinkLocked(bytes)
	return true
}

// isReserved reports whether anything is reserved.
func (h *hold) isReserved() bool { return h != nil && h.bytes > 0 }

// cover makes sure that at least the given bytes are reserved. Beyond the first part of a response, it
// reserves further ones only while no more than growthShare of the budget is held: other requests must be
// served meanwhile.
func (h *hold) cover(bytes int64) bool {
	if h == nil {
		return true
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	further := bytes - h.bytes
	if further <= 0 {
		return true
	}
	budget := h.memory.budget
	mayGrow := bytes <= largePart || float64(budget.Held()+further) <= growthShare*float64(budget.Limit())
	return mayGrow && h.growLocked(further)
}

// shrink releases what is reserved beyond the given bytes.
func (h *hold) shrink(bytes int64) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.shrinkLocked(bytes)
}

// shrinkLocked is shrink while the memory's lock is held.
func (h *hold) shrinkLocked(bytes int64) {
	if h.bytes <= bytes {
		return
	}
	h.memory.budget.Release(h.bytes - bytes)
	h.bytes = bytes
	h.memory.gauge.Update(float64(h.memory.budget.Held()))
}

// release releases all of it; nothing can be reserved afterwards.
func (h *hold) release() {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.isReleased = true
	h.shrinkLocked(0)
}

// NewHold returns an empty part of the budget, for a caller's connection; nil when there is no bound.
func (g *Gateway) NewHold() framing.Hold {
	if g.memory == nil {
		return nil
	}
	return g.memory.newHold()
}

// UseMakeRoom sets the function that closes a connection of a caller that holds memory, if there is one to
// close, and reports whether it has.
func (g *Gateway) UseMakeRoom(makeRoom func() bool) {
	if g.memory != nil {
		g.memory.makeRoom.Store(&makeRoom)
	}
}
