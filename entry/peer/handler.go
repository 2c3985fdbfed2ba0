package peer

import (
	"bytes"
	"cmp"
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

// ConfigServer serves configuration to other instances; entry/config implements it.
type ConfigServer interface {
	// FetchRoot returns the newest root, and may wait for one newer than the peer's.
	FetchRoot(ctx context.Context, request *primroseloomv1.FetchRootRequest) (*primroseloomv1.FetchRootResponse, error)
	// FetchShards sends each requested shard that it has.
	FetchShards(ctx context.Context, request *primroseloomv1.FetchShardsRequest, send func(*primroseloomv1.FetchShardsResponse) error) error
}

// Forwarder runs requests forwarded by other instances; the proxy implements it.
type Forwarder interface {
	// Forward runs one request and streams its response.
	Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error
}

// Leaser leases slots of targets to other instances; entry/targets implements it.
type Leaser interface {
	// Lease serves the stream of one instance.
	Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error
}

// UseLeaser sets the delegate for leases. It must be called before Serve.
func (m *Manager) UseLeaser(leaser Leaser) { m.leaser = leaser }

// UseConfigServer sets the delegate for configuration. It must be called before Serve.
func (m *Manager) UseConfigServer(server ConfigServer) { m.configServer = server }

// UseForwarder sets the delegate for forwarded requests. It must be called before Serve.
func (m *Manager) UseForwarder(forwarder Forwarder) { m.forwarder = forwarder }

// Stop closes the listener of Serve and waits until the peers' calls in progress
// have finished. If the context ends first, it aborts them.
func (m *Manager) Stop(ctx context.Context) error {
	server := m.server.Load()
	if server == nil {
		return nil
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
		return fmt.Errorf("wait for the calls of peers to finish: %w", err)
	}
	return nil
}

// Serve serves the peer protocol on a listener until Stop.
func (m *Manager) Serve(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle(primroseloomv1connect.NewPeerServiceHandler(&handler{m: m},
		connect.WithReadMaxBytes(maxMessageBytes), connect.WithSendMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressedBytes)))
	for _, extra := range m.mounts {
		mux.Handle(extra.path, extra.handler)
	}
	server := &http.Server{
		Handler:           mux,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       2 * idleTimeout,
		HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams,
			SendPingTimeout: 2 * pingAfterSilence, PingTimeout: pingTimeout},
		ErrorLog: stdlog.New(&handshakeErrorWriter{m: m}, "", 0),
	}
	m.server.Store(server)
	limited := netutil.LimitListener(&countingListener{Listener: listener, traffic: m.traffic}, cmp.Or(m.settings.Connections, MaxConnections))
	if m.keys.off {
		server.Protocols.SetUnencryptedHTTP2(true)
		return server.Serve(limited)
	}
	server.Protocols.SetHTTP2(true)
	server.TLSConfig = m.keys.serverConfig()
	return server.ServeTLS(limited, "", "")
}

// handshakeErrorWriter receives the error log of the HTTP server and logs failed
// TLS handshakes as events. Other lines are dropped.
type handshakeErrorWriter struct {
	m *Manager
}

// Write handles one line of the server's error log.
func (h *handshakeErrorWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("TLS handshake error")) {
		h.m.scope.Counter("handshakes_failed").Inc(1)
		h.m.logRateLimited(events.ForeignPeerRefused, "error", string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// handler implements the service of the peer protocol.
type handler struct {
	m *Manager
}

// checkFleet returns an error when the peer belongs to another fleet.
func (h *handler) checkFleet(fleet, peer string) error {
	if fleet == h.m.settings.Fleet {
		return nil
	}
	h.m.scope.Counter("foreign_peers_refused").Inc(1)
	const maxLogged = 80
	h.m.logRateLimited(events.ForeignPeerRefused, "peer", peer, "fleet", fleet[:min(len(fleet), maxLogged)])
	return connect.NewError(connect.CodePermissionDenied, fmt.Errorf("this is fleet %s, not the one asked for", h.m.settings.Fleet))
}

// Ping responds to a probe.
func (h *handler) Ping(_ context.Context, request *connect.Request[primroseloomv1.PingRequest]) (*connect.Response[primroseloomv1.PingResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	message := membership.Message{From: fromWire(request.Msg.GetFrom()), Digest: request.Msg.GetViewDigest(),
		Updates: membersFromWire(request.Msg.GetUpdates())}
	m.mu.Lock()
	response, err := m.state.HandlePing(m.readClock(), request.Msg.GetToVm(), message)
	m.mu.Unlock()
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&primroseloomv1.PingResponse{From: toWire(response.From),
		ViewDigest: response.Digest, Updates: membersToWire(response.Updates)}), nil
}

// PingIndirect probes a member on another instance's behalf. It probes only
// members in its own view, at the address in its own view.
func (h *handler) PingIndirect(ctx context.Context, request *connect.Request[primroseloomv1.PingIndirectRequest]) (*connect.Response[primroseloomv1.PingIndirectResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	m.mu.Lock()
	now := m.readClock()
	member, known := m.state.Lookup(now, request.Msg.GetTarget().GetVm())
	message := m.state.RelayMessage(now, member.VM)
	m.mu.Unlock()
	response := &primroseloomv1.PingIndirectResponse{}
	if !known {
		return connect.NewResponse(response), nil
	}
	timeout := min(time.Duration(request.Msg.GetTimeoutMs())*time.Millisecond, maxRelayTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pinged, err := m.sendPing(ctx, member, message, true)
	if err == nil {
		response.Reached = true
		response.Target = toWire(pinged.From)
		m.handlePingResult(membership.Result{AnyResponse: true, Response: pinged})
	}
	return connect.NewResponse(response), nil
}

// Join merges the member list of a starting instance, or of one whose view differs,
// into this instance's list and returns the result.
func (h *handler) Join(_ context.Context, request *connect.Request[primroseloomv1.JoinRequest]) (*connect.Response[primroseloomv1.JoinResponse], error) {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return nil, err
	}
	m := h.m
	m.mu.Lock()
	members := m.state.HandleJoin(m.readClock(), fromWire(request.Msg.GetFrom()), membersFromWire(request.Msg.GetMembers()))
	m.mu.Unlock()
	return connect.NewResponse(&primroseloomv1.JoinResponse{Members: membersToWire(members), FromVm: m.settings.VM}), nil
}

// ShareNews receives news items about targets and requests.
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

// FetchRoot passes the call to the delegate for configuration.
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

// FetchShards passes the call to the delegate for configuration.
func (h *handler) FetchShards(ctx context.Context, request *connect.Request[primroseloomv1.FetchShardsRequest], stream *connect.ServerStream[primroseloomv1.FetchShardsResponse]) error {
	if err := h.checkFleet(request.Msg.GetFleet(), request.Peer().Addr); err != nil {
		return err
	}
	if h.m.configServer == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.configServer.FetchShards(ctx, request.Msg, stream.Send)
}

// Forward passes the stream to the delegate for forwarded requests, which checks
// the fleet in the head of the request.
func (h *handler) Forward(ctx context.Context, stream *connect.BidiStream[primroseloomv1.ForwardRequest, primroseloomv1.ForwardResponse]) error {
	if h.m.forwarder == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.forwarder.Forward(ctx, stream)
}

// Lease passes the stream to the delegate for leases, which checks the fleet in
// each message.
func (h *handler) Lease(ctx context.Context, stream *connect.BidiStream[primroseloomv1.LeaseRequest, primroseloomv1.LeaseResponse]) error {
	if h.m.leaser == nil {
		return connect.NewError(connect.CodeUnimplemented, errNoDelegate)
	}
	return h.m.leaser.Lease(ctx, stream)
}
