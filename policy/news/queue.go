// Package news provides the priority queue of the news items to send to one peer.
//
// Urgent items are sent first, the oldest first. The others are sent by
// decreasing weight: an item's initial weight, halved with each HalfLife of its
// age. A full queue drops the item with the lowest weight, and an urgent one only
// when all others are urgent too. Items older than MaxAge are dropped.
package news

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Limits bound a queue.
type Limits struct {
	// MaxItems is the maximum number of waiting items.
	MaxItems int
	// HalfLife is the age at which an item's weight has halved.
	HalfLife time.Duration
	// MaxAge is the age at which an item is dropped.
	MaxAge time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxItems: 256, HalfLife: 2 * time.Second, MaxAge: 15 * time.Second}
}

// Entry is one waiting item.
type Entry[T any] struct {
	Item   T
	Urgent bool
	// InitialWeight is the item's weight at CreatedAt; not negative.
	InitialWeight float64
	// CreatedAt is the time from which the item's age counts.
	CreatedAt time.Duration
	// Attempts is the number of failed attempts to send the item.
	Attempts int
}

// Queue holds the items for one peer. It is not safe for concurrent use.
type Queue[T any] struct {
	limits  Limits
	entries []Entry[T]
}

// NewQueue returns an empty queue.
func NewQueue[T any](limits Limits) *Queue[T] { return &Queue[T]{limits: limits} }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.entries) }

// HasUrgent reports whether an urgent item is waiting.
func (q *Queue[T]) HasUrgent() bool {
	return slices.ContainsFunc(q.entries, func(e Entry[T]) bool { return e.Urgent })
}

// Push adds an item and returns the number of items dropped, as too old or because
// the queue was full.
func (q *Queue[T]) Push(now time.Duration, entry Entry[T]) int {
	q.entries = append(q.entries, entry)
	dropped := q.dropExpired(now)
	if len(q.entries) > q.limits.MaxItems {
		q.sort(now)
		dropped += len(q.entries) - q.limits.MaxItems
		clear(q.entries[q.limits.MaxItems:])
		q.entries = q.entries[:q.limits.MaxItems]
	}
	return dropped
}

// Take removes and returns up to count items in the order of sending.
func (q *Queue[T]) Take(now time.Duration, count int) []Entry[T] {
	q.dropExpired(now)
	q.sort(now)
	first := slices.Clone(q.entries[:min(count, len(q.entries))])
	q.entries = slices.Delete(q.entries, 0, len(first))
	return first
}

func (q *Queue[T]) dropExpired(now time.Duration) int {
	before := len(q.entries)
	q.entries = slices.DeleteFunc(q.entries, func(e Entry[T]) bool { return now-e.CreatedAt > q.limits.MaxAge })
	return before - len(q.entries)
}

func (q *Queue[T]) sort(now time.Duration) {
	slices.SortStableFunc(q.entries, func(a, b Entry[T]) int {
		if a.Urgent != b.Urgent {
			if a.Urgent {
				return -1
			}
			return 1
		}
		if a.Urgent {
			return cmp.Compare(a.CreatedAt, b.CreatedAt)
		}
		return cmp.Compare(q.weight(now, b), q.weight(now, a))
	})
}

func (q *Queue[T]) weight(now time.Duration, e Entry[T]) float64 {
	halvings := (now - e.CreatedAt).Seconds() / q.limits.HalfLife.Seconds()
	return e.InitialWeight * math.Exp2(-halvings)
}
