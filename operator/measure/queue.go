package measure

import (
	"container/heap"
	"time"
)

// eventKind is the kind of an event; it selects the handler.
type eventKind uint8

const (
	eventArrival eventKind = iota
	eventAtTarget
	eventServiceEnd
	eventResponse
	eventTimeout
	eventTick
	eventProbe
	eventMessage
	eventFault
)

// event is one entry of the event queue.
type event struct {
	at      time.Duration
	order   uint64
	kind    eventKind
	index   int
	attempt *attemptRun
	message *delivery
}

// delivery is a message in transit between two VMs.
type delivery struct {
	from           int
	messengerIndex int
	body           any
	to             int
}

// eventHeap orders events by time, then by the order of scheduling.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, *x.(*event)) }

// Pop is for container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := &(*h)[last]
	*h = (*h)[:last]
	return e
}

// eventQueue holds the scheduled events. scratch avoids an allocation for each
// event that is added.
type eventQueue struct {
	heap    eventHeap
	next    uint64
	scratch event
}

// add schedules an event.
func (q *eventQueue) add(e event) {
	q.next++
	e.order = q.next
	q.scratch = e
	heap.Push(&q.heap, &q.scratch)
}

// pop returns the earliest event, or false when none is left.
func (q *eventQueue) pop() (event, bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	return *heap.Pop(&q.heap).(*event), true
}
