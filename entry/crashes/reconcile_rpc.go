package crashes

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// errNotMember means that a VM is not a member of the fleet any more.
var errNotMember = errors.New("not a member of the fleet")

// digestHeader is the request header with the caller's digest in hexadecimal. A VM with an equal
// digest returns no evidence; older builds ignore the header and return all evidence.
const digestHeader = "Primroseloom-Requests-Digest"

// EvidencePeers returns the clients of the other VMs.
type EvidencePeers interface {
	Evidence(vm string) (primroseloomv1connect.EvidenceServiceClient, bool)
}

// Reconcile returns a function that calls another VM over connect-go.
func Reconcile(fleet, self string, peers EvidencePeers, uptime func() time.Duration) func(context.Context, string, []quarantine.Evidence) (Reconciled, error) {
	return func(ctx context.Context, vm string, all []quarantine.Evidence) (Reconciled, error) {
		client, ok := peers.Evidence(vm)
		if !ok {
			return Reconciled{}, fmt.Errorf("reconcile requests with VM %s: %w", vm, errNotMember)
		}
		response, err := client.ReconcileRequests(ctx, connect.NewRequest(&primroseloomv1.ReconcileRequestsRequest{
			Fleet: fleet, Vm: self, Requests: evidence.RequestsToWire(all, uptime()),
		}))
		if err != nil {
			return Reconciled{}, fmt.Errorf("reconcile requests with VM %s: %w", vm, err)
		}
		return Reconciled{Evidence: requestsFromWire(response.Msg.GetRequests(), uptime()), Digest: response.Msg.GetDigest()}, nil
	}
}

// Pull returns a function that fetches another VM's digest over connect-go, and its evidence unless
// the digests are equal.
func Pull(fleet, self string, peers EvidencePeers, uptime func() time.Duration) func(context.Context, string, uint64) (Reconciled, error) {
	return func(ctx context.Context, vm string, digest uint64) (Reconciled, error) {
		client, ok := peers.Evidence(vm)
		if !ok {
			return Reconciled{}, fmt.Errorf("pull requests from VM %s: %w", vm, errNotMember)
		}
		request := connect.NewRequest(&primroseloomv1.ReconcileRequestsRequest{Fleet: fleet, Vm: self})
		request.Header().Set(digestHeader, strconv.FormatUint(digest, 16))
		response, err := client.ReconcileRequests(ctx, request)
		if err != nil {
			return Reconciled{}, fmt.Errorf("pull requests from VM %s: %w", vm, err)
		}
		return Reconciled{Evidence: requestsFromWire(response.Msg.GetRequests(), uptime()), Digest: response.Msg.GetDigest()}, nil
	}
}

func requestsFromWire(messages []*primroseloomv1.RequestEvidence, now time.Duration) []quarantine.Evidence {
	all := make([]quarantine.Evidence, 0, min(len(messages), maxReconciledRequests))
	for _, message := range messages[:min(len(messages), maxReconciledRequests)] {
		all = append(all, evidence.RequestFromWire(message, now))
	}
	return all
}

// Handler returns the handler of calls of other VMs and its path.
func (t *Tracker) Handler(fleet string) (path string, handler http.Handler) {
	return primroseloomv1connect.NewEvidenceServiceHandler(&reconcileHandler{tracker: t, fleet: fleet})
}

// reconcileHandler implements the evidence service over a tracker.
type reconcileHandler struct {
	tracker *Tracker
	fleet   string
}

// ReconcileRequests merges what the caller knows and returns what this VM knows.
func (h *reconcileHandler) ReconcileRequests(_ context.Context, request *connect.Request[primroseloomv1.ReconcileRequestsRequest]) (*connect.Response[primroseloomv1.ReconcileRequestsResponse], error) {
	if request.Msg.GetFleet() != h.fleet {
		return nil, connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s, not the one asked for", h.fleet))
	}
	uptime := h.tracker.options.Uptime
	var got Reconciled
	if digest, err := strconv.ParseUint(request.Header().Get(digestHeader), 16, 64); err == nil {
		got = h.tracker.HandlePull(digest)
	} else {
		got = h.tracker.HandleReconcile(request.Msg.GetVm(), requestsFromWire(request.Msg.GetRequests(), uptime()))
	}
	return connect.NewResponse(&primroseloomv1.ReconcileRequestsResponse{
		Requests: evidence.RequestsToWire(got.Evidence, uptime()), Digest: got.Digest,
	}), nil
}
