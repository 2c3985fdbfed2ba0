package targetset

import (
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
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

// TestBytesAtTargetsAreBoundedAfterAnEnd guards against targets that end one after the other
// for lack of memory, and against a bound before any has ended, or for ever.
func TestBytesAtTargetsAreBoundedAfterAnEnd(t *testing.T) {
	const body = 900_000
	f := newFixture(1)
	large := wanted(routing.KindOnce)
	large.Bytes = body
	attempts := []*Attempt{f.begin(t, large), f.begin(t, large), f.begin(t, large)}
	if got := attempts[0].OtherBytes(); got != 2*body {
		t.Errorf("the target held %d bytes of others, want %d", got, 2*body)
	}
	attempts[0].HeldTooMuch()
	for _, a := range attempts {
		a.Done(served())
	}
	first := f.begin(t, large)
	if _, err := f.Begin(large); err == nil {
		t.Error("the target gets as much again")
	}
	small := f.begin(t, wanted(routing.KindOnce))
	small.Done(served())
	first.Done(served())
	f.begin(t, large).Done(served()) // it holds nothing
	f.now += boundTime
	first = f.begin(t, large)
	f.begin(t, large).Done(served())
	first.Done(served())
}
