package proxy

import "sync"

// bufferBudget bounds the bytes of all responses, and of large heads of responses, that are held at
// a time.
type bufferBudget struct {
	mu          sync.Mutex
	limit, held int64
}

// bufferHold is what one request has reserved of the budget.
type bufferHold struct {
	budget *bufferBudget
	// bytes is protected by the budget's lock.
	bytes int64
	// isReleased is true once nothing more may be reserved: the request has ended.
	isReleased bool
}

// grow reserves further bytes, all of them or none.
func (h *bufferHold) grow(bytes int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.isReleased || bytes > h.budget.limit-h.budget.held {
		return false
	}
	h.bytes += bytes
	h.budget.held += bytes
	return true
}

// shrink releases some of the reserved bytes.
func (h *bufferHold) shrink(bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.budget.held -= bytes
}

// release releases all of it; nothing can be reserved afterwards.
func (h *bufferHold) release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.held -= h.bytes
	h.bytes, h.isReleased = 0, true
}

// holdHead returns the reservation of an attempt for a large head of its response.
func (h *bufferHold) holdHead() func(bytes int64) bool {
	reserved := int64(0)
	return func(bytes int64) bool {
		if bytes > reserved && !h.grow(bytes-reserved) {
			return false
		}
		reserved = max(reserved, bytes)
		return true
	}
}
