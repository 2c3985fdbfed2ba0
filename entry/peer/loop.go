package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/assign"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/membership"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Run drives the membership and sends news until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	if m.settings.TLS.Off {
		events.PeerTLSOff.Log(m.logger, "fleet", m.settings.Fleet)
	}
	go m.keys.watch(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer m.pool.close()
	for {
		m.tick(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// tick advances the membership and carries out its actions. Changes received
// between two ticks are passed on by the next one, which limits the messages that
// an instance sends when many members change at once.
func (m *Manager) tick(ctx context.Context) {
	m.mu.Lock()
	now := m.readClock()
	m.lastTick = now
	actions := m.state.Tick(now)
	changes := m.state.Events()
	m.publish(now)
	m.mu.Unlock()
	for _, change := range changes {
		m.reportChange(change)
	}
	for _, action := range actions {
		m.startAction(ctx, action)
	}
	m.sendNews(ctx, now)
	m.updateGauges()
	m.traffic.report()
	m.pool.prune(now)
}

// updateGauges updates the gauges of the number of members.
func (m *Manager) updateGauges() {
	members := m.view.Load().members
	advertised := 0
	for _, member := range members {
		if assign.Advertised(member) {
			advertised++
		}
	}
	m.scope.Gauge("members").Update(float64(len(members)))
	m.scope.Gauge("members_offered").Update(float64(advertised))
}

// readClock returns the time. When it finds that the process was paused, it
// handles the pause first. The caller holds the lock.
func (m *Manager) readClock() time.Duration {
	now := m.settings.Clock()
	gap := now - m.lastTick
	if m.lastTick == 0 || gap < pauseThreshold {
		return now
	}
	m.lastTick = now
	m.state.HandlePause(now, gap)
	m.scope.Counter("pauses").Inc(1)
	events.ProcessPaused.Log(m.logger, "length_ms", gap.Milliseconds())
	for _, callback := range m.onPause {
		go callback(gap)
	}
	return now
}

// startAction carries out an action in the background. When too many actions are
// in progress, it drops the action and a probe counts as unanswered.
func (m *Manager) startAction(ctx context.Context, action membership.Action) {
	select {
	case m.runningActions <- struct{}{}:
	default:
		m.scope.Counter("actions_dropped").Inc(1)
		m.handlePingResult(membership.Result{Probe: action.Probe})
		return
	}
	go func() {
		defer func() { <-m.runningActions }()
		ctx, cancel := context.WithTimeout(ctx, action.Timeout)
		defer cancel()
		switch action.Kind {
		case membership.ActionPing:
			m.handlePingResult(m.ping(ctx, action))
		case membership.ActionPingIndirect:
			m.handlePingResult(m.pingIndirect(ctx, action))
		case membership.ActionJoin:
			m.join(ctx, action)
		}
	}()
}

func (m *Manager) handlePingResult(result membership.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.HandlePingResult(m.readClock(), result)
}

// ping carries out a direct ping and returns its result.
func (m *Manager) ping(ctx context.Context, action membership.Action) membership.Result {
	response, err := m.sendPing(ctx, action.To, action.Message, action.NewConnection)
	if err != nil {
		m.scope.Counter("pings_failed").Inc(1)
		return membership.Result{Probe: action.Probe}
	}
	m.scope.Counter("pings_answered").Inc(1)
	return membership.Result{Probe: action.Probe, Reached: true, AnyResponse: true, Response: response}
}

// sendPing pings a member and returns its response.
func (m *Manager) sendPing(ctx context.Context, to membership.Member, message membership.Message, newConnection bool) (*membership.Message, error) {
	request := &primroseloomv1.PingRequest{
		Fleet: m.settings.Fleet, From: toWire(message.From), ToVm: to.VM,
		Updates: membersToWire(message.Updates), ViewDigest: message.Digest,
	}
	client := m.pool.client(to.PeersAddress)
	var done func(bool)
	if newConnection {
		client, done = m.pool.clientOnNewConnection(to.PeersAddress)
	}
	response, err := client.Ping(ctx, connect.NewRequest(request))
	if newConnection {
		done(err == nil)
	}
	if err != nil {
		return nil, err
	}
	return &membership.Message{From: fromWire(response.Msg.GetFrom()), Digest: response.Msg.GetViewDigest(),
		Updates: membersFromWire(response.Msg.GetUpdates())}, nil
}

// pingIndirect asks a relay to ping a member and returns the result.
func (m *Manager) pingIndirect(ctx context.Context, action membership.Action) membership.Result {
	result := membership.Result{Probe: action.Probe}
	// The relay itself waits up to the action's timeout before it can report that the
	// target did not respond.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*action.Timeout)
	defer cancel()
	request := &primroseloomv1.PingIndirectRequest{
		Fleet: m.settings.Fleet, From: toWire(action.Message.From), Target: toWire(action.Target),
		TimeoutMs: uint32(action.Timeout.Milliseconds()),
	}
	response, err := m.pool.client(action.To.PeersAddress).PingIndirect(ctx, connect.NewRequest(request))
	if err != nil {
		m.scope.Counter("relays_failed").Inc(1)
		return result
	}
	result.AnyResponse = true
	result.Reached = response.Msg.GetReached()
	return result
}

// join exchanges member lists with the instance at an address.
func (m *Manager) join(ctx context.Context, action membership.Action) {
	m.mu.Lock()
	members := m.state.Statements(m.readClock())
	m.mu.Unlock()
	request := &primroseloomv1.JoinRequest{Fleet: m.settings.Fleet, From: toWire(members[0]), Members: membersToWire(members[1:])}
	client, done := m.pool.clientOnNewConnection(action.Address)
	response, err := client.Join(ctx, connect.NewRequest(request))
	done(err == nil)
	if err != nil {
		m.scope.Counter("joins_failed").Inc(1)
		m.logRateLimited(events.JoinFailed, "peer", action.Address, "error", err)
		return
	}
	m.scope.Counter("joins_answered").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.HandleJoinResponse(m.readClock(), response.Msg.GetFromVm(), membersFromWire(response.Msg.GetMembers()))
}

// reportChange logs and counts a change of the view.
func (m *Manager) reportChange(change membership.Event) {
	m.scope.Tagged(map[string]string{"change": string(change.Kind)}).Counter("membership_changes").Inc(1)
	switch change.Kind {
	case membership.EventJoined, membership.EventRestarted:
		events.MemberJoined.Log(m.logger, "peer", change.VM, "change", string(change.Kind))
	case membership.EventSuspected:
		events.MemberSuspected.Log(m.logger, "peer", change.VM, "raised_here", change.RaisedHere)
	case membership.EventRefuted:
		events.MemberRefuted.Log(m.logger, "peer", change.VM)
	case membership.EventUnreachable:
		events.MemberUnreachable.Log(m.logger, "peer", change.VM)
	case membership.EventLeaving:
		events.MemberLeaving.Log(m.logger, "peer", change.VM)
	case membership.EventDead:
		events.MemberLost.Log(m.logger, "peer", change.VM)
	case membership.EventHeldDown:
		events.MemberHeldDown.Log(m.logger, "peer", change.VM)
	case membership.EventSelfRefuted:
		events.SelfRefuted.Log(m.logger, "vm", change.VM)
	case membership.EventSuperseded:
		events.SelfSuperseded.Log(m.logger, "vm", change.VM)
	case membership.EventTableFull:
		m.logRateLimited(events.MemberRefused, "peer", change.VM)
	}
}
