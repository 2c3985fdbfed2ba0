package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/forwarding"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/hedge"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/suspicion"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

const (
	olderVMIP = "10.0.0.2"
	peersPort = "91"
)

// targetStatus is a status of a target's own response, with what callers get for it.
type targetStatus struct {
	status int
	// idempotent and once are the statuses that callers get when the target doesn't prove that
	// the request was not run: of idempotent requests and of others.
	idempotent, once int
	// proven is the status that all callers get when it does.
	proven int
}

// want returns the status that a caller gets.
func (s targetStatus) want(kind routing.Kind, isProven bool) int {
	switch {
	case isProven:
		return s.proven
	case kind.Idempotent():
		return s.idempotent
	}
	return s.once
}

// behavior returns that of a target that runs the request and then gives the status, or proves
// that it did not run it.
func (s targetStatus) behavior(isProven bool) behavior {
	return func(out http.ResponseWriter, r *http.Request) {
		if isProven {
			out.Header().Set("Not-Run", "1")
		}
		out.Header().Set("After", "1s")
		failsWith(s.status)(out, r)
	}
}

// otherVMs is a fleet with one other VM, which is a primary VM or a carrier.
type otherVMs struct {
	noCarriers
	primary, carrier primroseloomv1connect.PeerServiceClient
}

func (o otherVMs) Primary(_ string, tried []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return olderVMIP, o.primary, o.primary != nil && len(tried) == 0
}

func (o otherVMs) Carrier(_ string, tried []string) (string, primroseloomv1connect.PeerServiceClient, bool) {
	return olderVMIP, o.carrier, o.carrier != nil && len(tried) == 0
}

// cutOffTargets are targets that this VM doesn't reach.
type cutOffTargets struct{ Targets }

func (cutOffTargets) Begin(targetset.AttemptRequest) (*targetset.Attempt, error) {
	return nil, &targetset.Refusal{Reason: targetset.ReasonCutOff}
}

// olderVM is a VM of a build that passes each response of a target on.
type olderVM struct {
	primroseloomv1connect.UnimplementedPeerServiceHandler
	status   targetStatus
	isProven bool
}

func (o olderVM) Forward(ctx context.Context, stream *forwarding.Stream) error {
	head, err := forwarding.ReceiveHead(stream)
	if err != nil {
		return err
	}
	r, err := forwarding.NewRequest(ctx, head, stream)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w := forwarding.NewResponseWriter(stream, r.Body)
	if o.isProven {
		end := outcome.NotRun
		if o.status.status < http.StatusBadRequest {
			end = outcome.MayHaveRun // the response contradicts itself
		}
		return w.Refuse(refusalMessage(&outcome.Refusal{Outcome: end, Reason: outcome.ReasonTargetShed}))
	}
	failsWith(o.status.status)(w, r)
	return w.Finish()
}

// startOlderVM starts such a VM. The returned function ends it.
func (h *harness) startOlderVM(o olderVM) (client primroseloomv1connect.PeerServiceClient, end func()) {
	h.t.Helper()
	address := net.JoinHostPort(olderVMIP, peersPort)
	listener, err := h.network.Host(olderVMIP).Listen(h.t.Context(), address)
	if err != nil {
		h.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(o))
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{Protocols: new(http.Protocols), DialContext: h.network.Host(ownIP).DialContext}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return primroseloomv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, "http://"+address), func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	}
}

// sendBooking sends a request and returns the response.
func sendBooking(h *harness) *httptest.ResponseRecorder {
	return h.send(http.MethodPost, oncePath+"1", "slot")
}

// sendAsOtherVM sends a request as another VM forwards it, and returns the response that this VM
// makes of the result.
func sendAsOtherVM(h *harness) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://"+host+oncePath+"1", strings.NewReader("slot"))
	request.Header.Set("Id", "r1")
	if refusal := h.gateway.serveForwarded(recorder, request, &primroseloomv1.ForwardHead{DeadlineMs: 500}); refusal != nil {
		recorder = httptest.NewRecorder()
		q := h.gateway.newRequest(recorder, request)
		h.gateway.refuse(recorder, q, refusedByVM("vm-2", refusalMessage(refusal)).refusal)
	}
	return recorder
}

// wayToCaller is a way by which the response of a failing target reaches a caller.
type wayToCaller struct {
	// next are the behaviors of the targets that get the request, in order.
	next func(failing behavior) []behavior
	send func(h *harness) *httptest.ResponseRecorder
	// isPrimary and isCarrier are true when another VM passes the response on.
	isPrimary, isCarrier bool
	// isHedged is true when a second attempt is made beside the first one, which only idempotent
	// requests have.
	isHedged bool
}

var waysToCaller = map[string]wayToCaller{
	"own attempt":                {next: func(f behavior) []behavior { return []behavior{f, f} }, send: sendBooking},
	"after a proven refusal":     {next: func(f behavior) []behavior { return []behavior{sheds, f} }, send: sendBooking},
	"before a proven refusal":    {next: func(f behavior) []behavior { return []behavior{f, sheds} }, send: sendBooking},
	"forwarded by another VM":    {next: func(f behavior) []behavior { return []behavior{f, f} }, send: sendAsOtherVM},
	"served by a primary VM":     {isPrimary: true, send: sendBooking},
	"served by a carrier":        {isCarrier: true, send: sendBooking},
	"second attempt in progress": {next: func(f behavior) []behavior { return []behavior{after(10*usualTime, f), after(10*usualTime, f)} }, send: sendBooking, isHedged: true},
}

// result returns the response of a request of one kind whose targets give a status.
func (way wayToCaller) result(t *testing.T, s targetStatus, kind routing.Kind, isProven bool) (got *httptest.ResponseRecorder) {
	t.Helper()
	targets := &script{}
	withHarness(t, []behavior{targets.handle, targets.handle, targets.handle}, func(h *harness) {
		route, _ := h.table.Match(host, oncePath)
		route.Kind = kind
		if way.isHedged {
			h.targets.SetHedging(hedge.Settings{Ratio: 0.2, MinDelay: 3 * usualTime / 2})
			for range usualRequests {
				sendBooking(h)
			}
		}
		if way.isPrimary || way.isCarrier {
			client, end := h.startOlderVM(olderVM{status: s, isProven: isProven})
			defer end()
			fleet := otherVMs{primary: client}
			if way.isCarrier {
				fleet = otherVMs{carrier: client}
				h.gateway.options.Targets = cutOffTargets{h.targets}
			}
			h.gateway.options.Carriers = fleet
		} else {
			targets.next = way.next(s.behavior(isProven))
		}
		got = way.send(h)
		time.Sleep(time.Second)
		if inUse := h.targets.AttemptsInProgress(); len(inUse) != 0 {
			t.Errorf("attempts still in progress: %v", inUse)
		}
	})
	return got
}

// TestStatusesThatPromiseNotRunAreTrue guards against a caller that books twice: a target has run a
// request that must not run twice and failed it with a status that means that it did not run, and
// that status reaches the caller, by whichever way.
func TestStatusesThatPromiseNotRunAreTrue(t *testing.T) {
	statuses := []targetStatus{
		{200, 200, 200, 502},
		{400, 400, 400, 503},
		{408, 408, 502, 503},
		{421, 421, 502, 503},
		{429, 429, 502, 503},
		{500, 500, 500, 503},
		{502, 502, 502, 503},
		{503, 503, 502, 503},
		{504, 504, 504, 503},
	}
	for name, way := range waysToCaller {
		for _, s := range statuses {
			for _, kind := range []routing.Kind{routing.KindIdempotent, routing.KindDownload, routing.KindOnce, routing.KindUpload} {
				if way.isHedged && !kind.Idempotent() {
					continue
				}
				for _, isProven := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%d/%s/proven %v", name, s.status, kind, isProven), func(t *testing.T) {
						got, want := way.result(t, s, kind, isProven), s.want(kind, isProven)
						if got.Code != want {
							t.Errorf("status %d, want %d", got.Code, want)
						}
						isOfTarget := got.Header().Get("Seal") == "sealed" && got.Body.String() == "own failure"
						isBare := got.Header().Get("Seal") == "" && got.Body.Len() == 0
						if isUnchanged := !isProven && want == s.status; isUnchanged && !isOfTarget || !isUnchanged && !isBare {
							t.Errorf("header %v, body %q", got.Header(), got.Body)
						}
						if want == http.StatusBadGateway && s.status != want && got.Header().Get("After") != "" {
							t.Error("a request that may have run is invited to return")
						}
					})
				}
			}
		}
	}
}

// TestWithheldStatusIsCounted guards against callers' failures that no counter of the VM shows.
func TestWithheldStatusIsCounted(t *testing.T) {
	withHarness(t, []behavior{failsWith(http.StatusServiceUnavailable)}, func(h *harness) {
		scope := tally.NewTestScope("", nil)
		h.gateway.metrics = newCounters(scope)
		sendBooking(h)
		counter := scope.Snapshot().Counters()["requests_refused+reason="+string(outcome.ReasonTargetUnproven)]
		if counter == nil || counter.Value() != 1 {
			t.Errorf("counters %v", scope.Snapshot().Counters())
		}
	})
}

// TestWithheldStreamedResponseEndsItsAttempt guards against an attempt that stays open, and holds a
// slot of its target, since its response is too long to be held and is not passed on; the request's
// body is held or streamed.
func TestWithheldStreamedResponseEndsItsAttempt(t *testing.T) {
	failsLong := func(out http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		failsWith(http.StatusServiceUnavailable)(out, r)
		_, _ = out.Write(make([]byte, maxBufferedResponseBytes+1000))
	}
	for name, body := range map[string]string{"held": "slot", "streamed": strings.Repeat("x", maxBufferedBodyBytes+1000)} {
		withHarness(t, []behavior{failsLong}, func(h *harness) {
			h.table = tableWithBodies(t, 2*maxBufferedBodyBytes)
			h.targets.RoutesChanged(h.table)
			got := h.send(http.MethodPost, oncePath+"1", body)
			if got.Code != http.StatusBadGateway || got.Header().Get("Seal") != "" || got.Body.Len() != 0 {
				t.Errorf("%s: status %d, %d bytes, header %v", name, got.Code, got.Body.Len(), got.Header())
			}
			time.Sleep(time.Second)
			if inUse := h.targets.AttemptsInProgress(); len(inUse) != 0 || h.total() != 1 {
				t.Errorf("%s: attempts still in progress: %v, %d arrivals", name, inUse, h.total())
			}
		})
	}
}

// TestDiscardedFailureIsEvidence guards against a failing target that counts as healthy since its
// failures are too long to be held and are not passed on; a response that would have served its request
// says nothing when it is discarded.
func TestDiscardedFailureIsEvidence(t *testing.T) {
	withHarness(t, nil, func(h *harness) {
		q := &request{gateway: h.gateway, caller: h.request(http.MethodPost, oncePath, "")}
		for begin, want := range map[suspicion.Result]suspicion.Result{
			suspicion.ResultFailed: suspicion.ResultFailed,
			suspicion.ResultServed: suspicion.ResultNeutral,
		} {
			if got := q.streamResult(begin, errDiscarded); got != want {
				t.Errorf("%v: %v, want %v", begin, got, want)
			}
		}
	})
}
