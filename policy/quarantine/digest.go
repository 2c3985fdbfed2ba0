package quarantine

import (
	"container/heap"
	"math"
	"time"
)

// Digest returns a hash of the crashes that count and of the lifts, equal on all VMs that know
// the same; it is never zero. The times are left out, since each VM has rounded ages of them.
func (t *Table) Digest(now time.Duration) uint64 {
	for len(t.expiries) > 0 && now >= t.expiries[0].at {
		due := heap.Pop(&t.expiries).(expiry)
		if e, ok := t.entries[due.fingerprint]; ok && e.dueAt == due.at {
			e.dueAt = 0
		}
		if e, ok := t.lookup(due.fingerprint, now); ok {
			t.account(e)
		}
	}
	return max(t.digest+1, 1)
}

// changed updates an entry whose evidence has changed.
func (t *Table) changed(e *entry, now time.Duration) {
	e.recompute(now)
	t.account(e)
}

// account updates the part of an entry in the digest, and notes when it changes next.
func (t *Table) account(e *entry) {
	hash := e.hash()
	t.digest += hash - e.digest
	e.digest = hash
	if hash == 0 {
		return
	}
	if next := min(e.changesAt, e.expiresAt()); next < math.MaxInt64 && (e.dueAt == 0 || next < e.dueAt) {
		e.dueAt = next
		heap.Push(&t.expiries, expiry{next, e.fingerprint})
	}
}

// remove removes an entry.
func (t *Table) remove(e *entry) {
	t.digest -= e.digest
	e.digest = 0
	delete(t.entries, e.fingerprint)
}

// expiry is when an entry may change by itself. An entry has another one when it comes to
// change earlier.
type expiry struct {
	at          time.Duration
	fingerprint Fingerprint
}

// expiryHeap orders expiries by time; it implements heap.Interface.
type expiryHeap []expiry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an expiry; it is called by container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

// Pop removes the last expiry; it is called by container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	due := (*h)[last]
	*h = (*h)[:last]
	return due
}
