package follow

import (
	"bytes"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
)

// panickingDecoder is a textDecoder that panics on some values.
type panickingDecoder struct{ textDecoder }

func (d panickingDecoder) Decode(item Item, now time.Duration) (Entry, error) {
	if string(item.Value) == "panic" {
		panic("a fault of the decoder")
	}
	return d.textDecoder.Decode(item, now)
}

// listed is a follower to which a test gives listings, and its log.
type listed struct {
	*Follower
	log      bytes.Buffer
	listener recordingListener
	revision uint64
}

func newListed() *listed {
	l := &listed{}
	l.Follower = New(Options{
		Decoder: panickingDecoder{}, Listener: &l.listener, Uptime: func() time.Duration { return time.Hour },
		Logger: log.New(&l.log), Scope: tally.NoopScope,
	})
	return l
}

// list gives the follower a full listing or changes: keys and values in turn.
func (l *listed) list(full bool, keysAndValues ...string) {
	before := contract.StorePosition{Era: 1, Revision: l.revision}
	l.revision++
	listing := Listing{Full: full, Position: contract.StorePosition{Era: 1, Revision: l.revision}}
	for i := 0; i < len(keysAndValues); i += 2 {
		listing.Items = append(listing.Items, Item{Key: keysAndValues[i], Value: []byte(keysAndValues[i+1]), Revision: l.revision})
	}
	l.apply(listing, before)
}

// unusableLines returns the log lines of unusable entries.
func (l *listed) unusableLines() []string {
	var found []string
	for line := range strings.Lines(l.log.String()) {
		if strings.Contains(line, "event="+strconv.Itoa(events.EntryUnusable.ID)) {
			found = append(found, line)
		}
	}
	return found
}

// TestUnusableEntryIsLoggedOnce guards against a log that one writer fills: by writing an odd
// entry often, by a store whose history is short, or by a long value or key.
func TestUnusableEntryIsLoggedOnce(t *testing.T) {
	const maxLine = 1500
	l := newListed()
	longKey := "t/" + strings.Repeat("k", 100_000)
	l.list(true, "routes", "routes 4", "t/a", "target 10.0.0.1:80", "t/odd", "odd", longKey, "odd", "", "odd")
	l.list(false, "t/odd", "odd again")
	l.list(true, "routes", "routes 4", "t/a", "target 10.0.0.1:80", "t/odd", "odd again", longKey, "odd", "", "odd")
	lines := l.unusableLines()
	if len(lines) != 3 {
		t.Errorf("%d lines of three entries", len(lines))
	}
	for _, line := range lines {
		if len(line) > maxLine {
			t.Errorf("a line of %d bytes", len(line))
		}
	}
	l.list(false, "t/odd", "target 10.0.0.2:80")
	l.list(false, "t/odd", "odd")
	if lines := l.unusableLines(); len(lines) != 4 {
		t.Errorf("%d lines after the entry was usable in between, want one more", len(lines))
	}
	l.list(true, "t/a", "target 10.0.0.1:80")
	if len(l.unusable) != 0 {
		t.Errorf("%d keys are remembered that no longer exist", len(l.unusable))
	}
}

// TestOddValueReplacesATargetUntilTheNextOne guards against requests to a target whose entry no
// longer names one, and against a target that stays lost when its entry names it again.
func TestOddValueReplacesATargetUntilTheNextOne(t *testing.T) {
	l := newListed()
	l.list(true, "routes", "routes 4", "t/a", "target 10.0.0.1:80", "t/b", "target 10.0.0.2:80")
	for _, odd := range []string{"odd", ""} {
		l.list(false, "t/b", odd)
		if !l.listener.has(4, "a") {
			t.Errorf("after the value %q: targets %v, routes %d", odd, l.listener.targets, l.listener.version)
		}
		l.list(true, "routes", "odd", "t/a", "target 10.0.0.1:80", "t/b", odd)
		if !l.listener.has(4, "a") {
			t.Errorf("after a listing with the value %q: targets %v, routes %d", odd, l.listener.targets, l.listener.version)
		}
		l.list(false, "t/b", "target 10.0.0.2:80")
		if !l.listener.has(4, "a,b") {
			t.Errorf("after a value that names the target again: targets %v", l.listener.targets)
		}
	}
}

// TestPanicOfTheDecoderConcernsOneEntry guards against a published value that ends the VMs which
// read it, again and again since they read it after each start.
func TestPanicOfTheDecoderConcernsOneEntry(t *testing.T) {
	l := newListed()
	l.list(true, "routes", "routes 4", "t/a", "target 10.0.0.1:80", "t/odd", "panic", "t/b", "target 10.0.0.2:80")
	if !l.listener.has(4, "a,b") || len(l.unusableLines()) != 1 {
		t.Errorf("targets %v, routes %d, log %s", l.listener.targets, l.listener.version, l.log.String())
	}
	l.applyNewestRoutes(Item{Key: "routes", Value: []byte("panic"), Revision: 9})
	l.applyNewestRoutes(Item{Key: "routes", Value: []byte("routes 5"), Revision: 10})
	if !l.listener.has(5, "a,b") {
		t.Errorf("targets %v, routes %d", l.listener.targets, l.listener.version)
	}
}

// TestLargeUnusableValuesAreNotPassedOn guards against odd entries that make the responses to
// other instances larger than a message may be, so that these follow no further change. Small
// ones are passed on, since an instance of another build may use them.
func TestLargeUnusableValuesAreNotPassedOn(t *testing.T) {
	l := newListed()
	large, small := strings.Repeat("x", 1_000_000), strings.Repeat("x", 500)
	l.list(true, "routes", "routes 4", "t/a", "target "+large, "t/large", large, "t/small", small)
	passed, ok := l.history.nextPart(contract.StorePosition{}, nil, math.MaxInt)
	if !ok || len(passed.Items) != 4 {
		t.Fatalf("%d items, %v", len(passed.Items), ok)
	}
	for i, want := range []int{len("routes 4"), len("target " + large), 0, len(small)} {
		if item := passed.Items[i]; len(item.Value) != want || item.Removed {
			t.Errorf("%s is passed with %d bytes, want %d", item.Key, len(item.Value), want)
		}
	}
	reader := newListed()
	reader.list(true, "t/large", "target 10.0.0.9:80")
	reader.apply(passed.Listing, contract.StorePosition{})
	if !reader.listener.has(4, "a") {
		t.Errorf("an instance that is fed has targets %.200v", reader.listener.targets)
	}
}
