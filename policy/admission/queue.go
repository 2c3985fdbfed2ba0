package admission

import "container/heap"

// sweepSlack is the number of idle flows that are kept before a sweep.
const sweepSlack = 64

// FairQueue orders waiting items by start-time fair queueing over customers.
// Its cost grows with the logarithm of the customers that wait, not with the
// number of customers known.
type FairQueue[T any] struct {
	flows   map[string]*flow[T]
	waiting flowHeap[T]
	virtual float64
	length  int
	// weight is the sum of the weights of the customers that wait.
	weight float64
	// latest is the largest finish time given out.
	latest float64
	// sweepAt is the number of flows at which idle ones are forgotten.
	sweepAt int
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
	// finish is the virtual time at which the last item ends.
	finish float64
	// index is the place in the heap; -1 when the flow does not wait.
	index int
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{flows: make(map[string]*flow[T]), sweepAt: sweepSlack}
}

// Len returns the number of items that wait.
func (q *FairQueue[T]) Len() int { return q.length }

// Waiting returns the number of items of one customer that wait.
func (q *FairQueue[T]) Waiting(customer string) int {
	if f, ok := q.flows[customer]; ok {
		return f.length
	}
	return 0
}

// Push appends an item to its customer's backlog.
func (q *FairQueue[T]) Push(customer string, weight float64, item T) *Entry[T] {
	f := q.flow(customer)
	q.reweigh(f, max(weight, minWeight))
	entry := &Entry[T]{Item: item, customer: customer, weight: f.weight, flow: f, start: max(q.virtual, f.finish)}
	f.finish = entry.start + 1/f.weight
	q.latest = max(q.latest, f.finish)
	f.append(entry)
	q.length++
	if f.index < 0 {
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

// Pop removes and returns the item that goes next.
func (q *FairQueue[T]) Pop() (*Entry[T], bool) {
	entry, ok := q.Peek()
	if !ok {
		return nil, false
	}
	q.virtual = max(q.virtual, entry.start)
	q.take(entry)
	return entry, true
}

// Restore puts back an item that Pop returned, in front of its customer's
// backlog.
func (q *FairQueue[T]) Restore(entry *Entry[T]) {
	f := q.flow(entry.customer)
	if f.index < 0 {
		q.reweigh(f, entry.weight)
	}
	f.prepend(entry)
	q.length++
	if f.index >= 0 {
		heap.Fix(&q.waiting, f.index)
		return
	}
	f.finish = max(f.finish, entry.start+1/entry.weight)
	heap.Push(&q.waiting, f)
}

// Remove takes out an item that no longer waits; a second call does nothing.
func (q *FairQueue[T]) Remove(entry *Entry[T]) {
	if entry.flow == nil {
		return
	}
	if entry == entry.flow.tail {
		entry.flow.finish = entry.start
	}
	q.take(entry)
}

// MaxAhead bounds the number of items that go before a new item of a customer:
// all that wait, or fewer when the customer's fair share brings it forward.
func (q *FairQueue[T]) MaxAhead(customer string, weight float64) float64 {
	weight = max(weight, minWeight)
	others, own := q.weight, 0.0
	if f, ok := q.flows[customer]; ok && f.index >= 0 {
		own = float64(f.length)
		others -= f.weight
	}
	byShare := own + (own+1)*others/weight
	return min(float64(q.length), byShare)
}

// minWeight keeps virtual times finite.
const minWeight = 1e-3

// reweigh applies a customer's present weight to its next items.
func (q *FairQueue[T]) reweigh(f *flow[T], weight float64) {
	if f.index >= 0 {
		q.weight -= f.weight
	}
	f.weight = weight
	q.weight += weight
}

func (q *FairQueue[T]) take(entry *Entry[T]) {
	f := entry.flow
	wasHead := f.head == entry
	f.remove(entry)
	q.length--
	switch {
	case f.head == nil:
		heap.Remove(&q.waiting, f.index)
		q.weight -= f.weight
		q.sweep()
	case wasHead:
		heap.Fix(&q.waiting, f.index)
	}
}

func (q *FairQueue[T]) flow(customer string) *flow[T] {
	f, ok := q.flows[customer]
	if !ok {
		f = &flow[T]{customer: customer, index: -1}
		q.flows[customer] = f
	}
	return f
}

// sweep forgets the flows that have no backlog and no debt. An empty queue ends
// the busy period, so no customer owes anything to another.
func (q *FairQueue[T]) sweep() {
	if q.length == 0 {
		q.virtual, q.weight = q.latest, 0
	}
	if len(q.flows) <= q.sweepAt {
		return
	}
	if q.length == 0 {
		q.flows = make(map[string]*flow[T])
		q.sweepAt = sweepSlack
		return
	}
	for name, f := range q.flows {
		if f.head == nil && f.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
	q.sweepAt = 2*len(q.flows) + sweepSlack
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
	h[i].index, h[j].index = i, j
}

// Push appends a flow; it is called by container/heap.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow; it is called by container/heap.
func (h *flowHeap[T]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	f.index = -1
	return f
}
