package follow

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// countingDecoder counts what it decodes.
type countingDecoder struct {
	textDecoder
	count *int
}

func (d countingDecoder) Decode(item Item, now time.Duration) (Entry, error) {
	*d.count++
	return d.textDecoder.Decode(item, now)
}

// TestOnlyChangesOfAListingAreDecoded guards against instances that are busy with what they know, and late with a
// version, whenever the store discards its history: each then decoded all entries anew.
func TestOnlyChangesOfAListingAreDecoded(t *testing.T) {
	count := 0
	l := &recordingListener{}
	f := New(Options{
		Decoder: countingDecoder{count: &count}, WatchesStore: func() bool { return true }, Listener: l,
		Uptime: func() time.Duration { return time.Minute }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
	})
	const targets = 100
	revision := uint64(1)
	listing := func(routes string, changed map[int]string) Listing {
		revision++
		items := []Item{{Key: "routes", Value: []byte(routes), Revision: 1}}
		for i := range targets {
			value := "target 10.0.0.1:80"
			if other, ok := changed[i]; ok {
				value = other
			}
			if value != "" {
				items = append(items, Item{Key: fmt.Sprintf("t/%d", i), Value: []byte(value), Revision: 1})
			}
		}
		return Listing{Full: true, Position: contract.StorePosition{Era: 1, Revision: revision}, Items: items}
	}
	for i, step := range []struct {
		listing     Listing
		want        int
		wantVersion uint64
		wantTargets int
	}{
		{listing("routes 4", nil), targets + 1, 4, targets},
		{listing("routes 4", nil), 0, 4, targets},
		{listing("routes 5", map[int]string{3: "target 10.0.0.2:80"}), 2, 5, targets},
		{listing("routes 5", map[int]string{3: "target 10.0.0.2:80", 7: ""}), 0, 5, targets - 1},
		{listing("routes 5", map[int]string{3: "target 10.0.0.2:80"}), 1, 5, targets},
		{listing("routes 4", map[int]string{3: "nonsense"}), 2, 5, targets - 1},
		{listing("routes 5", map[int]string{3: "target 10.0.0.2:80"}), 1, 5, targets},
	} {
		count = 0
		f.apply(step.listing, contract.StorePosition{})
		if count != step.want || l.version != step.wantVersion || len(l.targets) != step.wantTargets {
			t.Errorf("step %d: %d items were decoded, version %d, %d targets; want %d, %d, %d", i, count, l.version, len(l.targets), step.want, step.wantVersion, step.wantTargets)
		}
	}
}
