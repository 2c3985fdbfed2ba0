package gateway

import (
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// oneCarrier is a fleet in which another VM serves what this VM can't.
type oneCarrier struct{ noCarriers }

func (oneCarrier) Carrier(string, []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return "vm-2", nil, true
}

// TestAttemptIsGivenUpOnlyWhereAnotherMayFollow guards against an attempt that is ended at its
// target although nothing can take its place, so that its caller gets a failure for a response
// that was about to come (LOST).
func TestAttemptIsGivenUpOnlyWhereAnotherMayFollow(t *testing.T) {
	const allowed = 2
	for _, c := range []struct {
		name   string
		change func(q *request)
		want   bool
	}{
		{"another VM may serve it", func(*request) {}, true},
		{"it was forwarded", func(q *request) { q.isForwarded = true }, false},
		{"its attempts are used up", func(q *request) { q.sentAttempts = allowed - 1 }, false},
		{"no time is left", func(q *request) { q.deadline = time.Now() }, false},
		{"its body is not held", func(q *request) { q.body.rest = newBodyStream(nil, q.caller.Body) }, false},
		{"no other VM reaches the service", func(q *request) { q.gateway.options.Carriers = noCarriers{} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, nil, func(h *harness) {
				h.gateway.options.Carriers = oneCarrier{}
				q := &request{
					gateway: h.gateway, caller: h.request("GET", safePath, "slot"), route: &routing.Route{Kind: routing.KindIdempotent, MaxAttempts: allowed},
					deadline: time.Now().Add(time.Second),
				}
				c.change(q)
				if got := q.anotherMayFollow(&targetset.Attempt{})(); got != c.want {
					t.Errorf("another attempt may follow: %v, want %v", got, c.want)
				}
			})
		})
	}
}
