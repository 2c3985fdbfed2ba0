package follow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	// peerTimeout bounds one call to another instance, in addition to its wait.
	peerTimeout = time.Second
	// listingTimeout bounds all parts of a listing, in addition to the wait.
	listingTimeout = 10 * time.Second
	// maxPeerWait bounds how long a call of another instance waits for changes.
	maxPeerWait = 30 * time.Second
	// maxPeerAttempts is the number of instances called before a fetch fails.
	maxPeerAttempts = 3
)

// errNoPeer means that no other instance responded.
var errNoPeer = errors.New("no other instance answered")

// Peers fetches published items from other instances.
type Peers struct {
	// Fleet is the fleet's name, which separates fleets on one network.
	Fleet string
	// Members lists the instances and returns the feed client of each.
	Members interface {
		contract.Members
		Feed(vm string) (primroseloomv1connect.FeedServiceClient, bool)
	}

	unfinished unfinished
}

// Fetch returns what is newer than what this instance knows, or everything, from the named
// instance or, without a name, from the first of a few random ones that responds.
func (p *Peers) Fetch(ctx context.Context, vm string, known contract.Announcement) (Listing, error) {
	if vm != "" {
		return p.fetchFrom(ctx, vm, known, 0)
	}
	members := p.Members.Members()
	failures := []error{errNoPeer}
	attempts := 0
	for _, i := range rand.Perm(len(members)) {
		if members[i].Vm == p.Members.Self().Vm {
			continue
		}
		if attempts++; attempts > maxPeerAttempts {
			break
		}
		listing, err := p.fetchFrom(ctx, members[i].Vm, known, 0)
		if err == nil {
			return listing, nil
		}
		failures = append(failures, fmt.Errorf("fetch from instance %s: %w", members[i].Vm, err))
	}
	return Listing{}, errors.Join(failures...)
}

// fetchFrom fetches from one instance, in parts that are applied together. A listing that breaks off is
// continued by the next fetch, from whichever instance.
func (p *Peers) fetchFrom(ctx context.Context, vm string, known contract.Announcement, wait time.Duration) (Listing, error) {
	client, ok := p.Members.Feed(vm)
	if !ok {
		return Listing{}, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, wait+listingTimeout)
	defer cancel()
	whole := p.unfinished.take(known.Position)
	var newest *Item
	for {
		got, err := p.fetchPart(ctx, client, known, whole.next, wait)
		if err != nil {
			p.unfinished.keep(whole)
			return Listing{}, err
		}
		if err := whole.add(got); err != nil {
			return Listing{}, fmt.Errorf("listing of instance %s: %w", vm, err)
		}
		if got.NewestRoutes != nil {
			newest = got.NewestRoutes
		}
		if got.next == nil {
			listing := whole.listing(got)
			listing.NewestRoutes = newest
			return listing, nil
		}
	}
}

// fetchPart fetches the part that follows a cursor, nil for the first.
func (p *Peers) fetchPart(ctx context.Context, client primroseloomv1connect.FeedServiceClient, known contract.Announcement, from *cursor, wait time.Duration) (part, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	response, err := client.Follow(ctx, connect.NewRequest(&primroseloomv1.FollowRequest{
		Fleet: p.Fleet, After: known.Position.Revision, Era: known.Position.Era, RoutesVersion: known.RoutesVersion,
		WaitMs: uint32(wait.Milliseconds()), PartBytes: partBytes, Cursor: cursorToWire(from),
	}))
	if err != nil {
		return part{}, err
	}
	return partFromWire(response.Msg), nil
}

// partFromWire returns the part in a message.
func partFromWire(message *primroseloomv1.FollowResponse) part {
	p := part{continued: message.GetContinued(), next: cursorFromWire(message.GetNext())}
	p.Position = contract.StorePosition{Era: message.GetEra(), Revision: message.GetRevision()}
	p.Full = message.GetWhole()
	p.StoreAge = time.Duration(message.GetStoreAgeMs()) * time.Millisecond
	for _, item := range message.GetItems() {
		p.Items = append(p.Items, itemFromWire(item))
	}
	if newest := message.GetNewestRoutes(); newest != nil {
		item := itemFromWire(newest)
		p.NewestRoutes = &item
	}
	return p
}

func cursorFromWire(message *primroseloomv1.FeedCursor) *cursor {
	if message == nil {
		return nil
	}
	return &cursor{
		position: contract.StorePosition{Era: message.GetEra(), Revision: message.GetRevision()}, key: message.GetKey(), full: message.GetWhole(),
	}
}

func cursorToWire(at *cursor) *primroseloomv1.FeedCursor {
	if at == nil {
		return nil
	}
	return &primroseloomv1.FeedCursor{Era: at.position.Era, Revision: at.position.Revision, Key: at.key, Whole: at.full}
}

func itemFromWire(item *primroseloomv1.FeedItem) Item {
	return Item{Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetRemoved()}
}

func itemToWire(item Item) *primroseloomv1.FeedItem {
	return &primroseloomv1.FeedItem{Key: item.Key, Value: item.Value, Revision: item.Revision, Removed: item.Removed}
}

// Handler serves this instance's copy of the published items to other instances.
func (f *Follower) Handler(fleet string) (path string, handler http.Handler) {
	return primroseloomv1connect.NewFeedServiceHandler(&feed{follower: f, fleet: fleet})
}

// feed implements the feed service over a follower's history.
type feed struct {
	primroseloomv1connect.UnimplementedFeedServiceHandler
	follower *Follower
	fleet    string
}

// Follow waits for items newer than a position. An instance whose position is older than
// the known history, or of an older era of the store, gets a full listing; one of a later
// era gets only newer routes, if this instance has them. An instance that takes parts gets
// at most one.
func (s *feed) Follow(ctx context.Context, request *connect.Request[primroseloomv1.FollowRequest]) (*connect.Response[primroseloomv1.FollowResponse], error) {
	if request.Msg.GetFleet() != s.fleet {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s", s.fleet))
	}
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxPeerWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed, ok := s.newer(request.Msg)
		if !ok && found.NewestRoutes == nil {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("nothing was read yet, or only an older era of the store"))
		}
		if len(found.Items) > 0 || found.Full || found.continued || found.NewestRoutes != nil {
			return connect.NewResponse(s.response(found)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(s.response(found)), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// newer returns what is newer than the requesting instance has, at most a part of it if that
// takes parts, and a channel that is closed at the next change; ok is false when there is only
// NewestRoutes, or nothing.
func (s *feed) newer(request *primroseloomv1.FollowRequest) (found part, changed <-chan struct{}, ok bool) {
	after := contract.StorePosition{Era: request.GetEra(), Revision: request.GetAfter()}
	limit := math.MaxInt
	takesParts := request.GetPartBytes() > 0
	if takesParts {
		limit = int(min(request.GetPartBytes(), partBytes))
	}
	changed = s.follower.history.nextChange()
	found, ok = s.follower.history.nextPart(after, cursorFromWire(request.GetCursor()), limit)
	if !found.continued {
		found.NewestRoutes = s.follower.routesNewerThan(request.GetRoutesVersion(), after)
	}
	if takesParts && ok && found.NewestRoutes != nil && len(found.Items) > 0 { // each may fill a message
		first := cursor{position: found.Position, full: found.Full}
		found.Items, found.next = nil, &first
	}
	return found, changed, ok
}

func (s *feed) response(found part) *primroseloomv1.FollowResponse {
	message := &primroseloomv1.FollowResponse{
		Revision:   found.Position.Revision,
		Era:        found.Position.Era,
		Whole:      found.Full,
		StoreAgeMs: uint32(s.follower.storeAge().Milliseconds()),
		Continued:  found.continued,
		Next:       cursorToWire(found.next),
	}
	for _, item := range found.Items {
		message.Items = append(message.Items, itemToWire(item))
	}
	if found.NewestRoutes != nil {
		message.NewestRoutes = itemToWire(*found.NewestRoutes)
	}
	return message
}

// storeAge returns the time since the last contact with the store, direct or
// through another instance.
func (f *Follower) storeAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Uptime() - f.storeContactAt
}
