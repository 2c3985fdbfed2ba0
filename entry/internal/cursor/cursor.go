// Package cursor takes a list in turn, a part at a time, while the list changes.
package cursor

// Cursor is a position in a list. The zero value is its begin.
type Cursor struct{ next int }

// Take returns the next elements of a list, count of them or all when there are fewer, and
// begins again at its end.
func Take[T any](c *Cursor, list []T, count int) []T {
	taken := make([]T, 0, min(len(list), count))
	for range min(len(list), count) {
		c.next %= len(list)
		taken = append(taken, list[c.next])
		c.next++
	}
	return taken
}
