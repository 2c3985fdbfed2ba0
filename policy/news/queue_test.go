package news

import (
	"slices"
	"testing"
	"time"
)

func items(entries []Entry[string]) []string {
	var names []string
	for _, e := range entries {
		names = append(names, e.Item)
	}
	return names
}

func TestTakeOrdersByUrgencyThenWeight(t *testing.T) {
	q := NewQueue[string](DefaultLimits())
	now := 10 * time.Second
	for _, e := range []Entry[string]{
		{Item: "old strong", InitialWeight: 4, CreatedAt: now - 6*time.Second},
		{Item: "weak", InitialWeight: 1, CreatedAt: now},
		{Item: "late crash", Urgent: true, CreatedAt: now},
		{Item: "crash", Urgent: true, CreatedAt: now - time.Second},
		{Item: "strong", InitialWeight: 4, CreatedAt: now},
	} {
		q.Push(now, e)
	}
	want := []string{"crash", "late crash", "strong", "weak", "old strong"}
	if got := items(q.Take(now, 10)); !slices.Equal(got, want) {
		t.Errorf("took %v, want %v", got, want)
	}
}

func TestFullQueueDropsLowestWeightAndKeepsUrgent(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxItems = 3
	q := NewQueue[string](limits)
	dropped := q.Push(0, Entry[string]{Item: "crash", Urgent: true})
	for i, name := range []string{"a", "b", "c", "d"} {
		dropped += q.Push(0, Entry[string]{Item: name, InitialWeight: float64(i)})
	}
	if got := items(q.Take(0, 10)); dropped != 2 || !slices.Equal(got, []string{"crash", "d", "c"}) {
		t.Errorf("kept %v and dropped %d, want the crash and the strongest two", got, dropped)
	}
}

func TestOldItemsAreDropped(t *testing.T) {
	q := NewQueue[string](DefaultLimits())
	q.Push(0, Entry[string]{Item: "a", Urgent: true})
	if got := q.Take(time.Minute, 10); len(got) != 0 {
		t.Errorf("took %v after a minute, want nothing", items(got))
	}
}
