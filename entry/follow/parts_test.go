package follow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// testMessageBytes is the most bytes of a message between instances (entry/peer).
const testMessageBytes = 1<<20 + 64<<10

// boundedLink calls another instance over a link whose messages are bounded.
type boundedLink struct {
	primroseloomv1connect.FeedServiceClient
	to *Follower
	// before runs before each call; an error of it is the call's.
	before func(call int) error
	// change changes a response on its way; nil for none.
	change func(message *primroseloomv1.FollowResponse)
	calls  int
	// largest is the size of the largest response in bytes.
	largest int
}

func (l *boundedLink) Follow(ctx context.Context, request *connect.Request[primroseloomv1.FollowRequest]) (*connect.Response[primroseloomv1.FollowResponse], error) {
	l.calls++
	if l.before != nil {
		if err := l.before(l.calls); err != nil {
			return nil, err
		}
	}
	response, err := (&feed{follower: l.to, fleet: "f"}).Follow(ctx, request)
	if err != nil {
		return nil, err
	}
	if l.change != nil {
		l.change(response.Msg)
	}
	l.largest = max(l.largest, proto.Size(response.Msg))
	if l.largest > testMessageBytes {
		return nil, connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("message size %d", l.largest))
	}
	return response, nil
}

// linkView is the membership of an instance that reaches others over links.
type linkView map[string]*boundedLink

func (v linkView) Self() *primroseloomv1.Member { return &primroseloomv1.Member{Vm: "self"} }

func (v linkView) Members() []*primroseloomv1.Member {
	members := []*primroseloomv1.Member{v.Self()}
	for _, vm := range slices.Sorted(maps.Keys(v)) {
		members = append(members, &primroseloomv1.Member{Vm: vm})
	}
	return members
}

func (v linkView) Client(string) (primroseloomv1connect.PeerServiceClient, bool) { return nil, false }

func (v linkView) Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool) {
	link, ok := v[vm]
	return link, ok
}

// newFed returns an instance without a store that reaches others over links.
func newFed(links linkView) *Follower {
	return New(Options{
		Decoder: textDecoder{}, Listener: &recordingListener{}, Peers: &Peers{Fleet: "f", Members: links}, WatchesStore: func() bool { return false },
		Uptime: func() time.Duration { return time.Minute }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
	})
}

func targetItem(i int, revision uint64) Item {
	return Item{Key: fmt.Sprintf("t/%05d", i), Value: fmt.Appendf(nil, "target 10.0.0.1:%d%s", 1024+i%60000, strings.Repeat(" ", 150)), Revision: revision}
}

// largeListing is that of a deployment of the size to design for: 9,300 targets, and routes of 1 MB.
func largeListing() Listing {
	listing := Listing{Full: true, Position: contract.StorePosition{Revision: 10_000}}
	for i := range 9_300 {
		listing.Items = append(listing.Items, targetItem(i, uint64(i+1)))
	}
	routes := "routes 0007"
	padding := strings.Repeat("0", 1<<20-len(routes))
	listing.Items = append(listing.Items, Item{Key: "routes", Value: []byte("routes " + padding + "0007"), Revision: 9_999})
	return listing
}

// sameItems fails the test unless an instance has what another has: position, routes and live items.
func sameItems(t *testing.T, f, want *Follower) {
	t.Helper()
	live := func(f *Follower) map[string]string {
		items := make(map[string]string)
		for key, item := range f.history.items {
			if !item.Removed {
				items[key] = string(item.Value)
			}
		}
		return items
	}
	if f.Position() != want.Position() || f.RoutesVersion() != want.RoutesVersion() || !maps.Equal(live(f), live(want)) {
		t.Errorf("position %v, routes %d, %d items; want %v, %d, %d", f.Position(), f.RoutesVersion(), len(live(f)), want.Position(), want.RoutesVersion(), len(live(want)))
	}
}

// TestListingLargerThanAMessageIsTaken guards against instances that take no listing, and so never
// a change again, once a deployment is larger than a message between instances.
func TestListingLargerThanAMessageIsTaken(t *testing.T) {
	feeder := newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	link := &boundedLink{to: feeder}
	f := newFed(linkView{"vm-2": link})
	f.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, f, feeder)
	t.Logf("%d parts, the largest of %d bytes", link.calls, link.largest)
	if bound := 2<<20 - partBytes; link.largest > bound {
		t.Errorf("a message of %d bytes, want at most %d", link.largest, bound)
	}

	// 10,000 entries change at once: no listing, but the changes are larger than a message, too.
	changes := Listing{Position: contract.StorePosition{Revision: 20_000}}
	for i := range 10_000 {
		changes.Items = append(changes.Items, targetItem(i+500, uint64(10_001+i)))
	}
	feeder.apply(changes, feeder.Position())
	f.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, f, feeder)
}

// TestPartsAreOfOneRevision guards against a mixture of revisions when entries change, appear or
// disappear while the parts of a listing are on their way.
func TestPartsAreOfOneRevision(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		feeder := newFed(nil)
		feeder.apply(largeListing(), contract.StorePosition{})
		link := &boundedLink{to: feeder}
		link.before = func(int) error {
			if link.calls > 12 {
				return nil
			}
			changes := Listing{Position: contract.StorePosition{Revision: feeder.Position().Revision}}
			for range random.IntN(200) {
				changes.Position.Revision++
				item := targetItem(random.IntN(10_000), changes.Position.Revision)
				if random.IntN(2) == 0 {
					item = Item{Key: item.Key, Revision: item.Revision, Removed: true}
				}
				changes.Items = append(changes.Items, item)
			}
			feeder.apply(changes, feeder.Position())
			return nil
		}
		f := newFed(linkView{"vm-2": link})
		f.fetchFromPeers(t.Context(), "vm-2")
		sameItems(t, f, feeder)
		if t.Failed() {
			t.Fatalf("seed %d, %d parts", seed, link.calls)
		}
	}
}

// TestListingIsContinuedAtAnotherInstance guards against a listing that begins anew each time an
// instance that sends it ends, so that it may never be whole, and against a part that is applied.
func TestListingIsContinuedAtAnotherInstance(t *testing.T) {
	feeder, other := newFed(nil), newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	other.apply(largeListing(), contract.StorePosition{})
	ends := &boundedLink{to: feeder, before: func(call int) error {
		if call > 4 {
			return connect.NewError(connect.CodeUnavailable, errors.New("the instance has ended"))
		}
		return nil
	}}
	goesOn := &boundedLink{to: other}
	f := newFed(linkView{"vm-2": ends, "vm-3": goesOn})
	f.fetchFromPeers(t.Context(), "vm-2")
	if !f.Position().IsZero() || f.RoutesVersion() != 0 {
		t.Errorf("position %v and routes %d of a listing that is not whole", f.Position(), f.RoutesVersion())
	}
	f.fetchFromPeers(t.Context(), "vm-3")
	sameItems(t, f, feeder)
	whole := &boundedLink{to: feeder}
	newFed(linkView{"vm-2": whole}).fetchFromPeers(t.Context(), "vm-2")
	if parts := ends.calls - 1 + goesOn.calls; parts > whole.calls {
		t.Errorf("%d parts of a listing that broke off once, want %d", parts, whole.calls)
	}
}

// TestWrongPartsAreRefused guards against an instance that keeps parts without end, applies parts of
// different listings as one, or asks for the same part for ever, whatever another instance sends.
func TestWrongPartsAreRefused(t *testing.T) {
	feeder := newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	cases := []struct {
		name   string
		change func(call int, message *primroseloomv1.FollowResponse)
		want   error
	}{
		{"the same part again and again", func(call int, message *primroseloomv1.FollowResponse) {
			if call > 1 {
				message.Next = &primroseloomv1.FeedCursor{Revision: message.GetRevision(), Key: "t/00001", Whole: true}
			}
		}, errPartWithoutProgress},
		{"an earlier part", func(call int, message *primroseloomv1.FollowResponse) {
			if call > 2 {
				message.Next = &primroseloomv1.FeedCursor{Revision: message.GetRevision(), Key: "a", Whole: true}
			}
		}, errPartWithoutProgress},
		{"of another era", func(call int, message *primroseloomv1.FollowResponse) {
			if call > 1 {
				message.Era++
			}
		}, errPartOfAnother},
		{"of an older revision", func(call int, message *primroseloomv1.FollowResponse) {
			if call > 1 {
				message.Revision--
			}
		}, errPartOfAnother},
		{"changes instead of everything", func(call int, message *primroseloomv1.FollowResponse) { message.Whole = call == 1 }, errPartOfAnother},
		{"a first part that continues", func(_ int, message *primroseloomv1.FollowResponse) { message.Continued = true }, errPartOfAnother},
		{"without end", func(call int, message *primroseloomv1.FollowResponse) {
			key := fmt.Sprintf("u/%09d", call)
			message.Items = []*primroseloomv1.FeedItem{{Key: key, Value: make([]byte, 1<<20), Revision: 1}}
			message.Next = &primroseloomv1.FeedCursor{Revision: message.GetRevision(), Key: key, Whole: true}
		}, errListingTooLarge},
	}
	for _, c := range cases {
		link := &boundedLink{to: feeder}
		link.change = func(message *primroseloomv1.FollowResponse) { c.change(link.calls, message) }
		f := newFed(linkView{"vm-2": link})
		if _, err := f.options.Peers.Fetch(t.Context(), "vm-2", contract.Announcement{}); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", c.name, err, c.want)
		}
		link.change = nil
		f.fetchFromPeers(t.Context(), "vm-2")
		sameItems(t, f, feeder)
	}
}

// TestListingsBetweenBuilds guards against builds that take no parts, or send none, and can't feed one
// another what fits into a message.
func TestListingsBetweenBuilds(t *testing.T) {
	feeder := newFed(nil)
	small := largeListing()
	small.Items = small.Items[5_300:]
	small.Items[len(small.Items)-1].Value = []byte("routes 7")
	feeder.apply(small, contract.StorePosition{})
	old, err := (&feed{follower: feeder, fleet: "f"}).Follow(t.Context(), connect.NewRequest(&primroseloomv1.FollowRequest{Fleet: "f"}))
	if err != nil || len(old.Msg.GetItems()) != len(small.Items) || !old.Msg.GetWhole() || old.Msg.GetNext() != nil {
		t.Errorf("an instance that takes no parts gets %d of %d items and error %v", len(old.Msg.GetItems()), len(small.Items), err)
	}
	link := &boundedLink{to: feeder}
	link.change = func(message *primroseloomv1.FollowResponse) {
		proto.Reset(message)
		proto.Merge(message, old.Msg)
	}
	f := newFed(linkView{"vm-2": link})
	f.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, f, feeder)
	if link.calls != 1 {
		t.Errorf("%d calls to an instance that sends no parts, want 1", link.calls)
	}
}

// TestRemovalsAreKeptBesideManyItems guards against a large deployment in which each change costs every
// instance a whole listing, since its removals are dropped, and against removals that are lost.
func TestRemovalsAreKeptBesideManyItems(t *testing.T) {
	feeder := newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	f, late := newFed(nil), newFed(nil)
	f.options.Peers.Members, late.options.Peers.Members = linkView{"vm-2": {to: feeder}}, linkView{"vm-2": {to: feeder}}
	late.fetchFromPeers(t.Context(), "vm-2")
	for round := range 30 {
		f.fetchFromPeers(t.Context(), "vm-2")
		sameItems(t, f, feeder)
		changes := Listing{Position: contract.StorePosition{Revision: feeder.Position().Revision}}
		for i := range 300 {
			changes.Position.Revision++
			key := targetItem(round*300+i, 0).Key
			changes.Items = append(changes.Items, Item{Key: key, Revision: changes.Position.Revision, Removed: true})
		}
		after := feeder.Position()
		feeder.apply(changes, after)
		if listing, _ := feeder.history.nextPart(after, nil, math.MaxInt); listing.Full || len(listing.Items) != 300 {
			t.Fatalf("round %d: %d items, full %t, to one that lacks 300 removals", round, len(listing.Items), listing.Full)
		}
	}
	if kept := feeder.history.removals; kept > maxRemovals {
		t.Errorf("%d removals are kept, want at most %d", kept, maxRemovals)
	}
	late.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, late, feeder)
}

// TestListingThatBeginsAnewIsGivenUp guards against an instance that asks one for the same parts as fast as it
// can, as that one has newer items than its position says.
func TestListingThatBeginsAnewIsGivenUp(t *testing.T) {
	feeder := newFed(nil)
	listing := largeListing()
	listing.Position.Revision = 1
	feeder.apply(listing, contract.StorePosition{})
	link := &boundedLink{to: feeder}
	f := newFed(linkView{"vm-2": link})
	if _, err := f.options.Peers.Fetch(t.Context(), "vm-2", contract.Announcement{}); !errors.Is(err, errPartWithoutProgress) || link.calls > 10 {
		t.Errorf("error %v after %d calls", err, link.calls)
	}
	feeder.apply(Listing{Position: contract.StorePosition{Revision: 10_000}}, feeder.Position())
	f.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, f, feeder)
}

// TestRemovalsDroppedDuringAListingOfChanges guards against entries that stay for ever, as their removals were
// dropped between two parts.
func TestRemovalsDroppedDuringAListingOfChanges(t *testing.T) {
	feeder := newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	link := &boundedLink{to: feeder}
	f := newFed(linkView{"vm-2": link})
	f.fetchFromPeers(t.Context(), "vm-2")
	change := func(removals, changes []int) {
		listing := Listing{Position: feeder.Position()}
		for _, key := range removals {
			listing.Position.Revision++
			listing.Items = append(listing.Items, Item{Key: targetItem(key, 0).Key, Revision: listing.Position.Revision, Removed: true})
		}
		for _, key := range changes {
			listing.Position.Revision++
			listing.Items = append(listing.Items, targetItem(key, listing.Position.Revision))
		}
		feeder.apply(listing, feeder.Position())
	}
	keys := func(from, to int) (keys []int) {
		for key := from; key < to; key++ {
			keys = append(keys, key)
		}
		return keys
	}
	change(keys(6_300, 9_300), keys(0, 6_300))
	link.calls = 0
	link.before = func(call int) error {
		if call == 3 {
			change(keys(4_000, 6_000), nil)
		}
		return nil
	}
	f.fetchFromPeers(t.Context(), "vm-2")
	sameItems(t, f, feeder)
}

// TestConfirmedRoutesOfAnySizeFitAMessage checks that routes as large as a value of the store may be fit into the answer
// of an instance that is asked to confirm older ones.
func TestConfirmedRoutesOfAnySizeFitAMessage(t *testing.T) {
	const valueBytes = 1 << 20
	f := newFed(nil)
	f.newestRoutes = Item{Key: strings.Repeat("k", 100), Value: make([]byte, valueBytes), Revision: 1 << 60}
	table, err := routing.Compile(routing.Document{Version: 1 << 60})
	if err != nil {
		t.Fatal(err)
	}
	f.table.Store(table)
	response, err := (&feed{follower: f, fleet: "f"}).ConfirmRoutes(t.Context(), connect.NewRequest(&primroseloomv1.ConfirmRoutesRequest{Fleet: "f"}))
	if err != nil {
		t.Fatal(err)
	}
	if size := proto.Size(response.Msg); size < valueBytes || size > testMessageBytes {
		t.Errorf("an answer of %d bytes, want at most %d", size, testMessageBytes)
	}
}
