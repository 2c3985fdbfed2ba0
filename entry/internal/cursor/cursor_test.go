package cursor

import (
	"slices"
	"testing"
)

func TestListIsTakenInTurn(t *testing.T) {
	c := &Cursor{}
	for i, step := range []struct {
		list, want string
	}{
		{"abcde", "ab"}, {"abcde", "cd"}, {"abcde", "ea"}, {"ab", "ba"}, {"a", "a"}, {"", ""}, {"abc", "bc"},
	} {
		if got := Take(c, []byte(step.list), 2); !slices.Equal(got, []byte(step.want)) {
			t.Errorf("step %d: took %q of %q, want %q", i, got, step.list, step.want)
		}
	}
}
