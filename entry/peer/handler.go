package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/net/netutil"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1/primroseloomv1connect"
)

// ConfigServer hands configuration to other instances; the config child is one.
type ConfigServer interface {
	// FetchRoot returns the newest root, and may wait for a newer one.
	FetchRoot(ctx context.Context, request *primroseloomv1.FetchRootRequest) (*primroseloomv1.FetchRootResponse, error)
	// FetchShards sends each shard that it has.
	FetchShards(ctx context.Context, request *primroseloomv1.FetchShardsRequest, send func(*primroseloomv1.FetchShardsResponse) error) error
}

// Forwarder runs requests that other instances hand over; the proxy is one.
type Forwarder interface {
	// Forward runs one request and streams its answer.
	Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error
}

// Leaser leases slots of targets to other instances; the targets child is one.
type Leaser interface {
	// Lease serves one instance's stream.
	Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error
}

// UseLeaser sets the delegate for leases, before Serve.
func (m *Manager) UseLeaser(leaser Leaser) { m.leaser = leaser }

// UseConfigServer sets the delegate for configuration, before Serve.
func (m *Manager) UseConfigServer(server ConfigServer) { m.configServer = server }

// UseForwarder sets the delegate for forwarded requests, before Serve.
func (m *Manager) UseForwarder(forwarder Forwarder) { m.forwarder = forwarder }

// Stop finishes the peers' calls in progress and closes the listener that
// Serve answers on; when the context ends first, it cuts them.
func (m *Manager) Stop(ctx context.Context) error {
	server := m.server.Load()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return fmt.Errorf("finish the calls of peers: %w", err)
	}
	return nil
}

// Serve answers peers on a listener until Stop.
func (m *Manager) Serve(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(&handler{m: m},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes)))
	for _, further := range m.mounted {
		mux.Handle(further.path, further.handler)
	}
	server := &http.Server{
		Handler:           mux,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       2 * idleTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams,
			SendPingTimeout: 2 * pingAfterSilence, PingTimeout: pingTimeout},
		ErrorLog: stdlog.New(&handshakeErrors{m: m}, "", 0),
	}
	m.server.Store(server)
	bounded := netutil.LimitListener(&countedListener{Listener: listener, traffic: m.traffic}, maxConnections)
	if m.keys.off {
		server.Protocols.SetUnencryptedHTTP2(true)
		return server.Serve(bounded)
	}
	server.Protocols.SetHTTP2(true)
	server.TLSConfig = m.keys.serverConfig()
	return server.ServeTLS(bounded, "", "")
}

// handshakeErrors turns the server's error lines, which failed handshakes
// cause, into events.
type handshakeErrors struct {
	m *Manager
}

// Write takes one line of the server.
func (h *handshakeErrors) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		h.m.scope.Counter("handshakes_failed").Inc(1)
		h.m.logSeldom(events.ForeignPeerRefused, "error", string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// handler serves the peer protocol.
type handler struct {
	m *Manager
}

// checkFleet refuses a peer of another fleet.
func (h *handler) checkFleet(fleet, peer string) error {
	if fleet == h.m.settings.Fleet {
		return nil
	}
	h.m.scope.Counter("foreign_peers_refused").Inc(1)
	const maxLogged = 80
	h.m.logSeldom(events.ForeignPeerRefused, "peer", peer, "fleet", fleet[:min(len(fleet), maxLogged)])
	return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s, not the one asked for", h.m.settings.Fleet))
}

// Ping answers a probe.
func (h *handler) Ping(_ context.Context, request *connect.Request[primroseloomv1.PingRequest]) (*connect.Response[primroseloomv1.PingResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	message := membership.Message{From: fromWire(request.Msg.GetFrom()), Digest: request.Msg.GetViewDigest(),
		Updates: listFromWire(request.Msg.GetUpdates())}
	m.mu.Lock()
	answer, err := m.state.HandlePing(m.now(), request.Msg.GetToVm(), message)
	m.mu.Unlock()
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&primroseloomv1.PingResponse{From: toWire(answer.From),
		ViewDigest: answer.Digest, Updates: listToWire(answer.Updates)}), nil
}

// PingIndirect probes a member on the caller's behalf. Only members known here
// are probed, at the address known here.
func (h *handler) PingIndirect(ctx context.Context, request *connect.Request[primroseloomv1.PingIndirectRequest]) (*connect.Response[primroseloomv1.PingIndirectResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	m.mu.Lock()
	now := m.now()
	target, known := m.state.Lookup(now, request.Msg.GetTarget().GetVm())
	message := m.state.RelayMessage(now, target.VM)
	m.mu.Unlock()
	response := &primroseloomv1.PingIndirectResponse{}
	if !known {
		return connect.NewResponse(response), nil
	}
	timeout := min(time.Duration(request.Msg.GetTimeoutMs())*time.Millisecond, maxRelayTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := m.exchange(ctx, target, message, true)
	if err == nil {
		response.Reached = true
		response.Target = toWire(answer.From)
		m.finished(membership.Result{AnyResponse: true, Response: answer})
	}
	return connect.NewResponse(response), nil
}

// Join takes in a starting instance, or merges with another side's list.
func (h *handler) Join(_ context.Context, request *connect.Request[primroseloomv1.JoinRequest]) (*connect.Response[primroseloomv1.JoinResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	m.mu.Lock()
	list := m.state.HandleJoin(m.now(), fromWire(request.Msg.GetFrom()), listFromWire(request.Msg.GetMembers()))
	m.mu.Unlock()
	return connect.NewResponse(&primroseloomv1.JoinResponse{Members: listToWire(list), FromVm: m.settings.VM}), nil
}

// ShareNews takes in facts about targets and requests.
func (h *handler) ShareNews(_ context.Context, request *connect.Request[primroseloomv1.ShareNewsRequest]) (*connect.Response[primroseloomv1.ShareNewsResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	if len(request.Msg.GetItems()) > maxBatchItems {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			fmt.Errorf("%d items in one message, at most %d are taken", len(request.Msg.GetItems()), maxBatchItems))
	}
	h.m.news.receive(h.m.settings.VM, request.Msg.GetItems())
	return connect.NewResponse(&primroseloomv1.ShareNewsResponse{}), nil
}

var errNoDelegate = errors.New("this instance does not serve the call")

// FetchRoot passes the call to the config child.
func (h *handler) FetchRoot(ctx context.Context, request *connect.Request[primroseloomv1.FetchRootRequest]) (*connect.Response[primroseloomv1.FetchRootResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	if h.m.configServer == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	response, err := h.m.configServer.FetchRoot(ctx, request.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// FetchShards passes the call to the config child.
func (h *handler) FetchShards(ctx context.Context, request *connect.Request[primroseloomv1.FetchShardsRequest], stream *connect.ServerStream[primroseloomv1.FetchShardsResponse]) error {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return err
	}
	if h.m.configServer == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.configServer.FetchShards(ctx, request.Msg, stream.Send)
}

// Forward passes the stream to the proxy, which checks the fleet in its head.
func (h *handler) Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error {
	if h.m.forwarder == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.forwarder.Forward(ctx, stream)
}

// Lease passes the stream to the targets child, which checks the fleet in each
// message.
func (h *handler) Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error {
	if h.m.leaser == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.leaser.Lease(ctx, stream)
}
