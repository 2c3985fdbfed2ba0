package targetset

import (
	"testing"
	"time"
)

// TestBytesAtATargetAreKnownForAWhile guards against a target that ends on the bytes that it
// held and whose attempts, all lost at once, show none.
func TestBytesAtATargetAreKnownForAWhile(t *testing.T) {
	var r recentBytes
	now := time.Hour
	r.add(600, now)
	r.add(500, now+time.Millisecond)
	r.remove(600)
	r.remove(500)
	r.add(10, now+time.Second)
	for _, c := range []struct {
		after time.Duration
		want  int64
	}{{time.Second, 1100}, {recentBytesWindow + 2*time.Millisecond, 10}} {
		if got := r.latest(now + c.after); got != c.want {
			t.Errorf("after %v: %d bytes, want %d", c.after, got, c.want)
		}
	}
	r.add(20, now+2*recentBytesWindow)
	if got := r.latest(now + 2*recentBytesWindow); got != 30 {
		t.Errorf("%d bytes, want 30", got)
	}
}
