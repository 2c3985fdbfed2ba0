package admission

import "container/heap"

// sweepSlack is the number of additional idle flows that are kept before a sweep.
const sweepSlack = 64

// FairQueue orders waiting items by start-time fair queueing between customers.
// The cost of an operation grows with the logarithm of the number of customers
// with waiting items, not with the number of known customers.
type FairQueue[T any] struct {
	flows       map[string]*flow[T]
	waiting     flowHeap[T]
	virtualTime float64
	length      int
	// activeWeight is the sum of the weights of the customers with waiting items.
	activeWeight float64
	// maxFinish is the largest virtual finish time assigned to an item.
	maxFinish float64
	// sweepThreshold is the number of flows above which idle ones are removed.
	sweepThreshold int
}

// Entry is one waiting item.
type Entry[T any] struct {
	Item       T
	customer   string
	weight     float64
	flow       *flow[T]
	prev, next *Entry[T]
	start      float64
}

// Owner returns the item's customer and weight.
func (e *Entry[T]) Owner() (customer string, weight float64) { return e.customer, e.weight }

// flow is the backlog of one customer.
type flow[T any] struct {
	customer   string
	head, tail *Entry[T]
	length     int
	weight     float64
	// finish is the virtual finish time of the last item.
	finish float64
	// heapIndex is the index in FairQueue.waiting; -1 when the flow has no items.
	heapIndex int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{flows: make(map[string]*flow[T]), sweepThreshold: sweepSlack}
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.length }

// Waiting returns the number of waiting items of one customer.
func (q *FairQueue[T]) Waiting(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return f.length
	}
	return 0
}

// Push appends an item to its customer's backlog.
func (q *FairQueue[T]) Push(customer string, weight float64, item T) *Entry[T] {
	f := q.flow(customer)
	q.setWeight(f, max(weight, minWeight))
	entry := &Entry[T]{Item: item, customer: customer, weight: f.weight, flow: f, start: max(q.virtualTime, f.finish)}
	f.finish = entry.start + 1/f.weight
	q.maxFinish = max(q.maxFinish, f.finish)
	f.append(entry)
	q.length++
	if f.heapIndex < 0 {
		heap.Push(&q.waiting, f)
	}
	return entry
}

// Peek returns the item that Pop would return.
func (q *FairQueue[T]) Peek() (*Entry[T], bool) {
	if len(q.waiting) == 0 {
		return nil, false
	}
	return q.waiting[0].head, true
}

// Pop removes and returns the item with the lowest virtual start time.
func (q *FairQueue[T]) Pop() (*Entry[T], bool) {
	entry, ok := q.Peek()
	if !ok {
		return nil, false
	}
	q.virtualTime = max(q.virtualTime, entry.start)
	q.unlink(entry)
	return entry, true
}

// Restore puts back an item that Pop returned, in front of its customer's
// backlog.
func (q *FairQueue[T]) Restore(entry *Entry[T]) {
	f := q.flow(entry.customer)
	if f.heapIndex < 0 {
		q.setWeight(f, entry.weight)
	}
	f.prepend(entry)
	q.length++
	if f.heapIndex >= 0 {
		heap.Fix(&q.waiting, f.heapIndex)
		return
	}
	f.finish = max(f.finish, entry.start+1/entry.weight)
	heap.Push(&q.waiting, f)
}

// Remove removes an item; a second call for the same item does nothing.
func (q *FairQueue[T]) Remove(entry *Entry[T]) {
	if entry.flow == nil {
		return
	}
	if entry == entry.flow.tail {
		entry.flow.finish = entry.start
	}
	q.unlink(entry)
}

// MaxAhead returns an upper bound on the number of items that are served before a
// new item of a customer: all waiting items, or fewer when the customer's fair
// share places the item before them.
func (q *FairQueue[T]) MaxAhead(customer string, weight float64) float64 {
	weight = max(weight, minWeight)
	others, own := q.activeWeight, 0.0
	if f, ok := q.flows[customer]; ok && f.heapIndex >= 0 {
		own = float64(f.length)
		others -= f.weight
	}
	byShare := own + (own+1)*others/weight
	return min(float64(q.length), byShare)
}

// minWeight keeps virtual times finite.
const minWeight = 1e-3

// setWeight sets the weight of a customer's new items.
func (q *FairQueue[T]) setWeight(f *flow[T], weight float64) {
	if f.heapIndex >= 0 {
		q.activeWeight -= f.weight
	}
	f.weight = weight
	q.activeWeight += weight
}

// unlink removes an item from its flow and updates the heap.
func (q *FairQueue[T]) unlink(entry *Entry[T]) {
	f := entry.flow
	wasHead := f.head == entry
	f.remove(entry)
	q.length--
	switch {
	case f.head == nil:
		heap.Remove(&q.waiting, f.heapIndex)
		q.activeWeight -= f.weight
		q.sweep()
	case wasHead:
		heap.Fix(&q.waiting, f.heapIndex)
	}
}

// flow returns the customer's flow, created if necessary.
func (q *FairQueue[T]) flow(customer string) *flow[T] {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow[T]{customer: customer, heapIndex: -1}
		q.flows[customer] = f
	}
	return f
}

// sweep removes the flows that have no items and whose finish time has passed.
// An empty queue ends the busy period: the virtual time advances to the last
// finish time, so that service received in that period delays no customer's later
// items.
func (q *FairQueue[T]) sweep() {
	if q.length == 0 {
		q.virtualTime, q.activeWeight = q.maxFinish, 0
	}
	if len(q.flows) <= q.sweepThreshold {
		return
	}
	if q.length == 0 {
		q.flows = make(map[string]*flow[T])
		q.sweepThreshold = sweepSlack
		return
	}
	for name, f := range q.flows {
		if f.head == nil && f.finish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
	q.sweepThreshold = 2*len(q.flows) + sweepSlack
}

func (f *flow[T]) append(entry *Entry[T]) {
	entry.prev = f.tail
	if f.tail == nil {
		f.head = entry
	} else {
		f.tail.next = entry
	}
	f.tail = entry
	f.length++
}

func (f *flow[T]) prepend(entry *Entry[T]) {
	entry.flow, entry.next = f, f.head
	if f.head == nil {
		f.tail = entry
	} else {
		f.head.prev = entry
	}
	f.head = entry
	f.length++
}

func (f *flow[T]) remove(entry *Entry[T]) {
	if entry.prev == nil {
		f.head = entry.next
	} else {
		entry.prev.next = entry.next
	}
	if entry.next == nil {
		f.tail = entry.prev
	} else {
		entry.next.prev = entry.prev
	}
	entry.prev, entry.next, entry.flow = nil, nil, nil
	f.length--
}

// flowHeap orders flows by the start time of their first item.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int           { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool { return h[i].head.start < h[j].head.start }
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a flow; it is called by container/heap.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow; it is called by container/heap.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}
