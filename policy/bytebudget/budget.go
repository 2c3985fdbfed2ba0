package bytebudget

const (
	// bytesPerMegabyte converts the setting, which counts decimal megabytes.
	bytesPerMegabyte = 1e6
	// processBytes is the part of a VM's memory that stays with the process itself: an idle
	// instance needs 30 to 45 MB, its connections and goroutines the rest.
	processBytes = 64e6
	// heldShare is the part of the remaining memory that may be held. The garbage collector
	// and the kernel's socket buffers need the other part.
	heldShare = 0.5
	// minShare is the part of the memory that may be held at least, for VMs with hardly more
	// memory than processBytes.
	minShare = 0.125
	// SmallBytes is the size up to which a reservation is small.
	SmallBytes = 64 << 10
	// smallShare is the part of the budget that only small reservations may use.
	smallShare = 0.125
)

// Limit returns the bytes that a VM with the given memory in megabytes may hold.
func Limit(memoryMB float64) int64 {
	memory := memoryMB * bytesPerMegabyte
	return int64(max((memory-processBytes)*heldShare, memory*minShare))
}

// Budget counts the bytes held against a limit.
type Budget struct {
	limit, held int64
}

// NewBudget returns an empty budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve adds bytes to a reservation that has size bytes so far. It grants all or nothing.
// Reservations that become larger than SmallBytes leave a part of the budget free.
func (b *Budget) Reserve(size, bytes int64) bool {
	limit := b.limit
	if size+bytes > SmallBytes {
		limit -= int64(float64(b.limit) * smallShare)
	}
	if bytes < 0 || bytes > limit-b.held {
		return false
	}
	b.held += bytes
	return true
}

// Release returns bytes that were reserved.
func (b *Budget) Release(bytes int64) { b.held = max(b.held-bytes, 0) }

// Held returns the bytes that are reserved now.
func (b *Budget) Held() int64 { return b.held }

// Limit returns the bytes that may be reserved.
func (b *Budget) Limit() int64 { return b.limit }
