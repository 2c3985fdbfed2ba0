package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	// peerTimeout bounds a call to another instance, in addition to its wait.
	peerTimeout = time.Second
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

func (p *Peers) fetchFrom(ctx context.Context, vm string, known contract.Announcement, wait time.Duration) (Listing, error) {
	client, ok := p.Members.Feed(vm)
	if !ok {
		return Listing{}, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, wait+peerTimeout)
	defer cancel()
	response, err := client.Follow(ctx, connect.NewRequest(&primroseloomv1.FollowRequest{
		Fleet: p.Fleet, After: known.Position.Revision, Era: known.Position.Era, RoutesVersion: known.RoutesVersion,
		WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return Listing{}, err
	}
	message := response.Msg
	listing := Listing{
		Position: contract.StorePosition{Era: message.GetEra(), Revision: message.GetRevision()},
		Full:     message.GetWhole(),
		StoreAge: time.Duration(message.GetStoreAgeMs()) * time.Millisecond,
	}
	for _, item := range message.GetItems() {
		listing.Items = append(listing.Items, itemFromWire(item))
	}
	if newest := message.GetNewestRoutes(); newest != nil {
		item := itemFromWire(newest)
		listing.NewestRoutes = &item
	}
	return listing, nil
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
// era gets only newer routes, if this instance has them.
func (s *feed) Follow(ctx context.Context, request *connect.Request[primroseloomv1.FollowRequest]) (*connect.Response[primroseloomv1.FollowResponse], error) {
	if request.Msg.GetFleet() != s.fleet {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s", s.fleet))
	}
	wait := min(time.Duration(request.Msg.GetWaitMs())*time.Millisecond, maxPeerWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	after := contract.StorePosition{Era: request.Msg.GetEra(), Revision: request.Msg.GetAfter()}
	for {
		listing, changed, ok := s.follower.history.after(after)
		listing.NewestRoutes = s.follower.routesNewerThan(request.Msg.GetRoutesVersion(), listing)
		if !ok && listing.NewestRoutes == nil {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("nothing was read yet, or only an older era of the store"))
		}
		if len(listing.Items) > 0 || listing.Full || listing.NewestRoutes != nil {
			return connect.NewResponse(s.response(listing)), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return connect.NewResponse(s.response(listing)), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *feed) response(listing Listing) *primroseloomv1.FollowResponse {
	message := &primroseloomv1.FollowResponse{
		Revision:   listing.Position.Revision,
		Era:        listing.Position.Era,
		Whole:      listing.Full,
		StoreAgeMs: uint32(s.follower.storeAge().Milliseconds()),
	}
	for _, item := range listing.Items {
		message.Items = append(message.Items, itemToWire(item))
	}
	if listing.NewestRoutes != nil {
		message.NewestRoutes = itemToWire(*listing.NewestRoutes)
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
