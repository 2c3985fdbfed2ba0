package follow

import (
	"context"
	"fmt"
	"math"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/policy/freshness"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// confirm asks an instance how long ago it knew that no routes newer than its own were
// published; newest holds its routes if they are newer than the version. The timeout bounds
// how long this takes; the age counts from when the call is sent.
func (p *Peers) confirm(ctx context.Context, vm string, version uint64) (answer freshness.Answer, newest *Item, err error) {
	client, ok := p.Members.Feed(vm)
	if !ok {
		return freshness.Answer{}, nil, errNoPeer
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := client.ConfirmRoutes(ctx, connect.NewRequest(&primroseloomv1.ConfirmRoutesRequest{Fleet: p.Fleet, RoutesVersion: version}))
	if err != nil {
		return freshness.Answer{}, nil, fmt.Errorf("confirm routes at instance %s: %w", vm, err)
	}
	message := response.Msg
	if item := message.GetNewestRoutes(); item != nil {
		converted := itemFromWire(item)
		newest = &converted
	}
	return freshness.Answer{
		Version: message.GetRoutesVersion(), Confirmed: message.GetConfirmed(), Age: time.Duration(message.GetConfirmedAgeMs()) * time.Millisecond,
	}, newest, nil
}

// ConfirmRoutes tells another instance the age of this one's confirmation, and this one's
// routes if they are newer.
func (s *feed) ConfirmRoutes(_ context.Context, request *connect.Request[primroseloomv1.ConfirmRoutesRequest]) (*connect.Response[primroseloomv1.ConfirmRoutesResponse], error) {
	if request.Msg.GetFleet() != s.fleet {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s", s.fleet))
	}
	answer := s.follower.ownAnswer()
	message := &primroseloomv1.ConfirmRoutesResponse{
		RoutesVersion: answer.Version, Confirmed: answer.Confirmed, ConfirmedAgeMs: ageToWire(answer.Age),
	}
	if newest := s.follower.newestRoutesFor(request.Msg.GetRoutesVersion()); newest != nil {
		message.NewestRoutes = itemToWire(*newest)
	}
	return connect.NewResponse(message), nil
}

// ownAnswer returns what this instance says of its routes.
func (f *Follower) ownAnswer() freshness.Answer {
	if f.keys.state == nil {
		return freshness.Answer{Version: f.RoutesVersion()}
	}
	now := f.options.Uptime()
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	version, _ := f.keys.state.Version()
	age, confirmed := f.keys.state.Age(now)
	if !confirmed {
		age = 0
	}
	return freshness.Answer{Version: version, Confirmed: confirmed, Age: age}
}

// ageToWire returns an age in milliseconds, rounded up, so that it stays an upper bound.
func ageToWire(age time.Duration) uint32 {
	ms := (age + time.Millisecond - 1) / time.Millisecond
	return uint32(min(max(ms, 0), math.MaxUint32))
}
