package proxy

import (
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/framing"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

const (
	// requestBytes is what a request in progress needs beside its head, body and response: the goroutines
	// and buffers of two connections.
	requestBytes = 32 << 10
	// memoryWait is about the time in which requests in progress free memory.
	memoryWait = time.Second
)

// bufferBudget bounds the bytes of one kind that are held at a time.
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

// Resize makes the reservation a number of bytes, or leaves it as it is and returns false.
func (h *bufferHold) Resize(bytes int64) bool {
	if bytes > h.bytes {
		return h.grow(bytes - h.bytes)
	}
	h.shrink(h.bytes - bytes)
	return true
}

// NewHold returns an empty part of the budget of what callers send, for a connection.
func (p *Proxy) NewHold() framing.Hold { return &bufferHold{budget: &p.callerBytes} }

// UseMakeRoom sets the function that closes a caller's connection that holds memory, if there is one to
// close, and reports whether it has. It is to be called before the first request.
func (p *Proxy) UseMakeRoom(makeRoom func() bool) { p.makeRoom = makeRoom }

// reservePrefix reserves what a request needs and the beginning of its body, before that is read.
func (p *Proxy) reservePrefix(c *call) error {
	bytes := int64(requestBytes + c.upload.expected)
	if framing.WithRoom(func() bool { return c.kept.grow(bytes) }, p.makeRoom) {
		return nil
	}
	refusal := contract.NewRefusal(outcome.NotRun, outcome.ReasonNoMemory, outcome.StepAdmission, c.request.RemoteAddr, nil)
	refusal.RetryAfter = memoryWait
	return refusal
}
